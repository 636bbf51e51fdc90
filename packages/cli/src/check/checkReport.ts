import {readFile} from 'node:fs/promises';
import {
	checkConfiguration, compareConfigurations, type ConfigurationChange, type ConfigurationDraft, FINDING_CODES, FINDING_DESCRIPTIONS,
	type FindingCode, redactSecrets, type Severity,
} from '@damaskspool/core';
import {type ConfigurationCheckPorts, type ConfigurationInForce, type ConfigurationPlace} from '@damaskspool/runtime';
import {Err, Ok, type Result} from '@damaskspool/shared';

/** Exit codes of the check. */
export const CHECK_EXIT_CODES = {
	clean: 0,
	findings: 1,
	/** A file cannot be read, is not JSON, or was given as the version in force and is not one; or an option is not valid. */
	unreadable: 2,
} as const;

/** One of {@link CHECK_EXIT_CODES}. */
export type CheckExitCode = typeof CHECK_EXIT_CODES[keyof typeof CHECK_EXIT_CODES];

/** A finding with its place in the file. */
export type ReportedFinding = ConfigurationPlace & {
	readonly code: FindingCode;
	readonly severity: Severity;
	readonly message: string;
	readonly detail: string;
};

/** Result of the check of a file. Contains no key. */
export type CheckReport = {
	readonly file: string;
	readonly exitCode: CheckExitCode;
	readonly findings: readonly ReportedFinding[];
	/** Where the version in force comes from; undefined if none was compared. */
	readonly comparedWith: string | undefined;
	/** Why none was compared; undefined if one was. */
	readonly reasonNotCompared: string | undefined;
	/** Whether the attempts of routes were checked against the registered targets. */
	readonly areTargetsKnown: boolean;
	/** Empty if no version was compared. */
	readonly changes: readonly ConfigurationChange[];
};

/** Options of {@link createCheckReport}. */
export type CheckOptions = {
	readonly file: string;
	readonly ports: ConfigurationCheckPorts;
	/** File that stands for the version in force. */
	readonly againstFile?: string | undefined;
	/** `ip:port` of the store; by default the one that the settings of this process name. */
	readonly storeAddress?: string | undefined;
};

/** The version in force with its source, or why it is not known. */
type KnownInForce = ConfigurationInForce & {readonly source: string};
type UnknownInForce = {readonly reason: string; readonly isUnreadable: boolean; readonly secrets: readonly string[]};

/** Checks a file, and compares it with the version in force if that can be read. */
export async function createCheckReport({file, ports, againstFile, storeAddress}: CheckOptions): Promise<CheckReport> {
	const text = await readText(file);
	if (text.err) {
		const findings = [createReportedFinding(FINDING_CODES.fileUnreadable, {path: '', line: 1, column: 1}, text.val)];
		return {
			file, exitCode: CHECK_EXIT_CODES.unreadable, findings, comparedWith: undefined, reasonNotCompared: 'there is no file to compare', areTargetsKnown: false, changes: [],
		};
	}

	const {draft, listFindings, locate, secrets} = ports.parseText(text.val);
	const inForce = await readInForce({ports, againstFile, storeAddress});
	const known = inForce.ok ? inForce.val : undefined;
	const findings = [
		...listFindings().map(({code, detail, ...place}) => createReportedFinding(code, place, detail)),
		...(draft === undefined ? [] : checkConfiguration({draft, inForce: known?.draft, targetCounts: known?.targetCounts}))
			.map(({code, path, detail}) => createReportedFinding(code, locate(path), detail)),
	].toSorted((left, right) => left.line - right.line || left.column - right.column);
	const isUnreadable = findings.some(({code}) => code === FINDING_CODES.textInvalid) || (inForce.err && inForce.val.isUnreadable);
	const isCompared = draft !== undefined && known?.draft !== undefined;
	const printed = redactSecrets({
		findings,
		comparedWith: isCompared ? `version ${known.draft.configuration.version}, ${known.source}` : undefined,
		reasonNotCompared: isCompared ? undefined : describeMissing(draft, inForce),
		changes: isCompared ? listNamedChanges(known.draft, draft, ports) : [],
	}, [...secrets, ...inForce.val.secrets]);
	const areTargetsKnown = draft !== undefined && known?.targetCounts !== undefined;
	return {
		file, areTargetsKnown, exitCode: isUnreadable ? CHECK_EXIT_CODES.unreadable : chooseExitCode(findings), ...printed,
	};
}

function chooseExitCode(findings: readonly ReportedFinding[]): CheckExitCode {
	return findings.length === 0 ? CHECK_EXIT_CODES.clean : CHECK_EXIT_CODES.findings;
}

function describeMissing(draft: ConfigurationDraft | undefined, inForce: Result<KnownInForce, UnknownInForce>): string {
	if (inForce.err) {
		return inForce.val.reason;
	}

	return draft === undefined ? 'entries refuse the file' : `there is no version in force, ${inForce.val.source}`;
}

function listNamedChanges(inForce: ConfigurationDraft, draft: ConfigurationDraft, ports: ConfigurationCheckPorts): readonly ConfigurationChange[] {
	return compareConfigurations(inForce, draft).map(change => change.field === undefined ? change : {...change, field: ports.formatField(change.part, change.field)});
}

async function readInForce({ports, againstFile, storeAddress: givenAddress}: Omit<CheckOptions, 'file'>): Promise<Result<KnownInForce, UnknownInForce>> {
	if (againstFile !== undefined) {
		return readInForceFile(againstFile, ports);
	}

	const address = givenAddress === undefined ? ports.findStoreAddress() : Ok(givenAddress);
	if (address.err || address.val === undefined) {
		return Err({reason: address.err ? address.val.message : 'no store is given', isUnreadable: false, secrets: []});
	}

	const storeAddress = address.val;
	const read = await ports.readInForce(storeAddress);
	return read.ok
		? Ok({...read.val, source: `read from the store at ${storeAddress}`})
		: Err({reason: `store at ${storeAddress}: ${read.val.message}`, isUnreadable: false, secrets: []});
}

async function readInForceFile(file: string, ports: ConfigurationCheckPorts): Promise<Result<KnownInForce, UnknownInForce>> {
	const text = await readText(file);
	if (text.err) {
		return Err({reason: `${file}: ${text.val}`, isUnreadable: true, secrets: []});
	}

	const {draft, listFindings, secrets} = ports.parseText(text.val);
	const [first] = draft === undefined ? listFindings() : [];
	return draft === undefined
		? Err({reason: `${file}:${first?.line}:${first?.column}: entries refuse it: ${first?.path} ${first?.detail}`, isUnreadable: true, secrets})
		: Ok({
			draft, secrets, targetCounts: undefined, source: `read from ${file}`,
		});
}

async function readText(file: string): Promise<Result<string, string>> {
	try {
		return Ok(await readFile(file, 'utf8'));
	} catch (error) {
		return Err((error as NodeJS.ErrnoException).code ?? 'unknown reason');
	}
}

function createReportedFinding(code: FindingCode, place: ConfigurationPlace, detail: string): ReportedFinding {
	return {
		code, ...FINDING_DESCRIPTIONS[code], ...place, detail,
	};
}
