import {type ConfigurationChange, TOUCHED_DESCRIPTIONS} from '@damaskspool/core';
import {type QueryRow} from '@damaskspool/shared';
import {formatRows} from '../output/formatRows.js';
import {CHECK_EXIT_CODES, type CheckReport, type ReportedFinding} from './checkReport.js';

/** Rows of a printed table. JSON holds all of them. */
const MAX_TABLE_ROWS = 50;
/** Names in a cell of a table. */
const MAX_CELL_NAMES = 3;

/** Formats a report for reading: its findings, then its changes, then what was compared. */
export function formatCheckReport(report: CheckReport, isColoured: boolean): string {
	const {file, exitCode, findings, changes, comparedWith, reasonNotCompared, areTargetsKnown} = report;
	const comparison = comparedWith === undefined
		? `not compared with the version in force: ${reasonNotCompared}`
		: `${formatCount(changes.length, 'difference')} from ${comparedWith}`;
	const verdict = exitCode === CHECK_EXIT_CODES.clean ? 'clean' : formatCount(findings.length, 'finding');
	return [
		formatTable(findings.map(finding => toFindingRow(file, finding)), isColoured),
		formatTable(changes.map(change => toChangeRow(change)), isColoured),
		`${file}: ${verdict}; ${comparison}\n`,
		areTargetsKnown ? '' : 'attempts were not checked against the registered targets, which are not known\n',
	].join('');
}

function formatTable(rows: readonly QueryRow[], isColoured: boolean): string {
	if (rows.length === 0) {
		return '';
	}

	const omittedCount = rows.length - MAX_TABLE_ROWS;
	return `${formatRows(rows.slice(0, MAX_TABLE_ROWS), 'table', isColoured)}${omittedCount > 0 ? `${omittedCount} more, see --json\n` : ''}`;
}

function toFindingRow(file: string, {severity, line, column, path, message, detail}: ReportedFinding): QueryRow {
	return {
		severity, place: `${file}:${line}:${column}`, path, found: `${message}\n${detail}`,
	};
}

function toChangeRow({kind, part, name, field, before, after, touched, touchedRoutes, otherRoute}: ConfigurationChange): QueryRow {
	return {
		change: kind,
		what: name === '' ? part : `${part} ${name}`,
		field: field ?? '',
		'in force': before ?? '',
		'in the file': after ?? '',
		touches: [
			TOUCHED_DESCRIPTIONS[touched],
			...(touchedRoutes === undefined ? [] : [`routes: ${formatNames(touchedRoutes)}`]),
			...(otherRoute === undefined ? [] : [`${kind === 'added' ? 'takes requests from' : 'its requests go to'} route ${otherRoute}`]),
		].join('\n'),
	};
}

function formatCount(count: number, noun: string): string {
	return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

function formatNames(names: readonly string[]): string {
	const omittedCount = names.length - MAX_CELL_NAMES;
	return `${names.slice(0, MAX_CELL_NAMES).join(', ')}${omittedCount > 0 ? ` and ${omittedCount} more` : ''}`;
}
