import {randomUUID} from 'node:crypto';
import {type ConfigurationCopy, findMissingParts, planChange} from '@damaskspool/core';
import {type ObjectApiClient} from '@damaskspool/runtime';
import {
	type ChangeReceipt, CONFIGURATION_HEAD_KEY, type ConfigurationHead, configurationHeadSchema, configurationPartSchema,
	type ConfigurationProposal, type ConfigurationUpdate, createFailure, Err, ERROR_CODES, type Failure, formatDocumentKey, Ok, type Outcome, OUTCOMES, type Result,
} from '@damaskspool/shared';

/** The configuration as it is stored now. */
export type StoredConfiguration = {
	readonly head: ConfigurationHead | undefined;
	/** Version of the head, for its conditional update. */
	readonly version: number;
	/** Copy of exactly that head. */
	readonly copy: ConfigurationCopy;
	/** What the process lacks; undefined where it is up to date. */
	readonly update: ConfigurationUpdate | undefined;
};

/** The configuration in the object API. */
export type ConfigurationStore = {
	/** Reads the head, and of its documents those that the process does not hold. */
	readonly read: () => Promise<Result<StoredConfiguration, Failure>>;
	/** Brings a change to acceptance; see {@link ChangeReceipt}. */
	readonly propose: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
};

/** Options of {@link createConfigurationStore}. */
export type ConfigurationStoreOptions = {
	readonly objectApi: ObjectApiClient;
	/** What the process holds; only read. */
	readonly readCopy: () => ConfigurationCopy;
	/** Called with what the process lacked when it proposed a change, and with the change as soon as it is accepted. */
	readonly onUpdate: (update: ConfigurationUpdate, source: 'store' | 'proposal') => void;
};

/** Attempts of one change before its proposer is told of the conflict: each loses only to a change that was accepted. */
const PROPOSE_ATTEMPTS = 12;
/** Bound of the wait before another attempt, drawn anew each time so that two proposers do not stay in step. */
const PROPOSE_BACKOFF_MS = 40;
/** Reads of a head whose documents were removed meanwhile, before the read is given up. */
const READ_ATTEMPTS = 3;
/** Documents that are read at once. */
const READS_AT_ONCE = 8;

/**
 * Creates access to the stored configuration.
 *
 * @param options - object API and the copy that the process holds
 * @returns reading and proposing
 */
export function createConfigurationStore(options: ConfigurationStoreOptions): ConfigurationStore {
	const {objectApi, readCopy, onUpdate} = options;

	const readHead = async (): Promise<Result<{head: ConfigurationHead | undefined; version: number}, Failure>> => {
		const read = await objectApi.read(CONFIGURATION_HEAD_KEY);
		if (read.err) {
			return read;
		}

		if (read.val === undefined) {
			return Ok({head: undefined, version: 0});
		}

		const parsed = configurationHeadSchema.safeParse(read.val.value);
		return parsed.success
			? Ok({head: parsed.data, version: read.val.version})
			: Err(createFailure(ERROR_CODES.internal, {detail: `the stored head is not valid: ${parsed.error.message}`}));
	};

	const readParts = async (missing: ReturnType<typeof findMissingParts>): Promise<Result<ConfigurationUpdate['parts'], Failure>> => {
		const parts: ConfigurationUpdate['parts'] = [];
		for (let start = 0; start < missing.length; start += READS_AT_ONCE) {
			const reads = await Promise.all(missing.slice(start, start + READS_AT_ONCE).map(async part => ({
				...part,
				read: await objectApi.read(formatDocumentKey(part.name, part.documentId)),
			})));
			for (const {name, documentId, read} of reads) {
				const parsed = read.ok ? configurationPartSchema.safeParse(read.val?.value) : undefined;
				if (parsed?.data === undefined) {
					return Err(read.err ? read.val : createFailure(ERROR_CODES.versionConflict, {detail: `document ${name} is gone or not valid`}));
				}

				parts.push({name, documentId, document: parsed.data});
			}
		}

		return Ok(parts);
	};

	const read = async (): Promise<Result<StoredConfiguration, Failure>> => {
		let failure = createFailure(ERROR_CODES.storeUnavailable);
		for (let attempt = 0; attempt < READ_ATTEMPTS; attempt += 1) {
			const found = await readHead();
			if (found.err) {
				return found;
			}

			const {head, version} = found.val;
			const held = readCopy();
			if (head === undefined) {
				return Ok({
					head, version, copy: held, update: undefined,
				});
			}

			const parts = await readParts(findMissingParts(held, head));
			if (parts.ok) {
				return Ok(toStored(head, version, held, parts.val));
			}

			failure = parts.val;
		}

		return Err(failure);
	};

	const writePlanned = async (stored: StoredConfiguration, proposal: ConfigurationProposal, baseRevision: number): Promise<ProposalStep> => {
		const planned = planChange({
			...stored, proposal, baseRevision, documentId: randomUUID().slice(0, 13),
		});
		if (planned.err || planned.val.kind === 'accepted') {
			return {kind: 'ended', result: planned as Result<{receipt: ChangeReceipt}, Failure>};
		}

		const {writes, head, removals, update} = planned.val;
		const written = await Promise.all(writes.map(async ({key, value}) => objectApi.write(key, value, 0)));
		const failed = written.find(result => result.err);
		if (failed !== undefined) {
			return {kind: 'again', mayBeAccepted: false};
		}

		const accepted = await objectApi.write(CONFIGURATION_HEAD_KEY, head, stored.version);
		if (accepted.err) {
			return {kind: 'again', mayBeAccepted: accepted.val.code !== ERROR_CODES.versionConflict};
		}

		onUpdate(update, 'proposal');
		for (const key of removals) {
			// A document that stays behind costs space only.
			void removeObject(objectApi, key);
		}

		return {kind: 'ended', result: Ok({receipt: {changeId: proposal.changeId, revision: head.revision}})};
	};

	return {
		read,
		async propose(proposal) {
			let {baseRevision} = proposal;
			let mayBeAccepted = false;
			for (let attempt = 0; attempt < PROPOSE_ATTEMPTS; attempt += 1) {
				const stored = await read();
				if (stored.err) {
					return Err({...stored.val, outcome: toOutcome(mayBeAccepted)});
				}

				if (stored.val.update !== undefined) {
					onUpdate(stored.val.update, 'store');
				}

				baseRevision ??= stored.val.head?.revision ?? 0;
				const step = await writePlanned(stored.val, proposal, baseRevision);
				if (step.kind === 'ended') {
					return step.result.map(({receipt}) => receipt);
				}

				mayBeAccepted ||= step.mayBeAccepted;
				await new Promise(resolve => {
					setTimeout(resolve, Math.random() * PROPOSE_BACKOFF_MS);
				});
			}

			return Err(createFailure(ERROR_CODES.versionConflict, {outcome: toOutcome(mayBeAccepted), detail: 'other changes were accepted first each time'}));
		},
	};
}

/** What came of one attempt; a conflict and a lost reply are both settled by reading again. */
type ProposalStep
	= | {readonly kind: 'again'; readonly mayBeAccepted: boolean}
		| {readonly kind: 'ended'; readonly result: Result<{readonly receipt: ChangeReceipt}, Failure>};

function toOutcome(mayBeAccepted: boolean): Outcome {
	return mayBeAccepted ? OUTCOMES.refusedUnknown : OUTCOMES.refusedNotRun;
}

function toStored(head: ConfigurationHead, version: number, held: ConfigurationCopy, parts: ConfigurationUpdate['parts']): StoredConfiguration {
	const read = new Map(parts.map(({name, documentId, document}) => [name, {documentId, document}]));
	const copy: ConfigurationCopy = {
		revision: head.revision,
		parts: new Map(Object.keys(head.parts).map(name => [name, read.get(name) ?? held.parts.get(name)!])),
		recentUpdates: [],
	};
	const update = head.revision > held.revision ? {fromRevision: held.revision, revision: head.revision, parts} : undefined;
	return {
		head, version, copy, update,
	};
}

async function removeObject(objectApi: ObjectApiClient, key: string): Promise<void> {
	const found = await objectApi.read(key);
	if (found.ok && found.val !== undefined) {
		await objectApi.remove(key, found.val.version);
	}
}
