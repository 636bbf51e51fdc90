import {type QueryRow, type StatementValue} from '@damaskspool/shared';
import Table from 'cli-table3';

/** Output formats of the command line. */
export const OUTPUT_FORMATS = ['table', 'json', 'csv'] as const;

/** One of {@link OUTPUT_FORMATS}. */
export type OutputFormat = typeof OUTPUT_FORMATS[number];

/** Digits after the decimal point of numbers in tables. */
const TABLE_FRACTION_DIGITS = 4;

const FORMATTERS: Readonly<Record<OutputFormat, (rows: readonly QueryRow[], isColoured: boolean) => string>> = {
	json: rows => `${JSON.stringify(rows)}\n`,
	csv(rows) {
		const head = Object.keys(rows[0] ?? {});
		const lines = [head, ...rows.map(row => head.map(column => row[column] ?? ''))];
		return lines.map(line => `${line.map(value => toCsvCell(value)).join(',')}\n`).join('');
	},
	table(rows, isColoured) {
		if (rows.length === 0) {
			return 'no rows\n';
		}

		const head = Object.keys(rows[0]!);
		const table = new Table({head, style: {head: isColoured ? ['bold'] : [], border: []}});
		table.push(...rows.map(row => head.map(column => toTableCell(row[column] ?? ''))));
		return `${table.toString()}\n`;
	},
};

/**
 * Formats rows as text that ends with a line break.
 *
 * @param rows - rows that all have the same columns
 * @param isColoured - whether a table may contain terminal escape sequences
 */
export function formatRows(rows: readonly QueryRow[], format: OutputFormat, isColoured: boolean): string {
	return FORMATTERS[format](rows, isColoured);
}

/** Formats a CSV cell. Text that starts like a formula gets a leading quote, so that spreadsheets do not evaluate it. */
function toCsvCell(value: StatementValue): string {
	const text = typeof value === 'string' && /^[=+\-@]/v.test(value) ? `'${value}` : String(value);
	return /[",\n]/v.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}

function toTableCell(value: StatementValue): string {
	return typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(TABLE_FRACTION_DIGITS) : String(value);
}
