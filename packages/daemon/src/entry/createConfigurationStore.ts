import {randomUUID} from 'node:crypto';
import {type ConfigurationCopy, findMissingParts, planChange} from '@damaskspool/core';
import {type ObjectApiClient} from '@damaskspool/runtime';
import {
	type ChangeReceipt, CONFIGURATION_HEAD_KEY, type ConfigurationHead, configurationHeadSchema, configurationPartSchema,
	type ConfigurationProposal, type ConfigurationUpdate, createFailure, Err, ERROR_CODES, type Failure, formatDocumentKey, Ok, type Outcome, OUTCOMES, type Result,
} from '@damaskspool/shared';

/** The configuration as it was read from the store. */
export type StoredConfiguration = {
	readonly head: ConfigurationHead | undefined;
	/** Object version of the head, for its conditional update. */
	readonly version: number;
	/** Complete configuration at the revision of `head`; the local copy if no head is stored. */
	readonly copy: ConfigurationCopy;
	/** Update from the local copy to `head`; undefined if the local copy is up to date. */
	readonly update: ConfigurationUpdate | undefined;
};

/** Access to the configuration in the object API. */
export type ConfigurationStore = {
	/** Reads the head and those of its documents that the local copy lacks. */
	readonly read: () => Promise<Result<StoredConfiguration, Failure>>;
	/** Proposes a change and retries after conflicts. The change is accepted once the promise resolves with a receipt. */
	readonly propose: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
};

/** Options of {@link createConfigurationStore}. */
export type ConfigurationStoreOptions = {
	readonly objectApi: ObjectApiClient;
	/** Returns the process's copy of the configuration, which the store does not modify. */
	readonly readLocalCopy: () => ConfigurationCopy;
	/**
	 * Called with the update that the local copy lacked when a change was proposed (`store`), and with the change itself as
	 * soon as it is accepted (`proposal`).
	 */
	readonly onUpdate: (update: ConfigurationUpdate, source: 'store' | 'proposal') => void;
};

/**
 * Time after which a change that still conflicts is refused. An attempt with a version conflict loses only to another change
 * that was accepted, so a number of attempts would refuse changes while others make progress.
 */
const MAX_PROPOSE_MS = 10_000;
/** Upper bound of the random delay before another attempt. The delay is random so that two proposers do not keep colliding. */
const MAX_PROPOSE_BACKOFF_MS = 40;
/** Attempts to read the head with its documents. A read fails if a newer change removed the documents in the meantime. */
const MAX_READ_ATTEMPTS = 3;
const MAX_CONCURRENT_READS = 8;

/** Creates the access to the stored configuration. */
export function createConfigurationStore(options: ConfigurationStoreOptions): ConfigurationStore {
	const {objectApi, readLocalCopy, onUpdate} = options;

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
			: Err(createFailure(ERROR_CODES.internal, {detail: `the stored configuration head is invalid: ${parsed.error.message}`}));
	};

	const readMissingParts = async (missing: ReturnType<typeof findMissingParts>): Promise<Result<ConfigurationUpdate['parts'], Failure>> => {
		const parts: ConfigurationUpdate['parts'] = [];
		for (let start = 0; start < missing.length; start += MAX_CONCURRENT_READS) {
			const reads = await Promise.all(missing.slice(start, start + MAX_CONCURRENT_READS).map(async part => ({
				...part,
				read: await objectApi.read(formatDocumentKey(part.name, part.documentId)),
			})));
			for (const {name, documentId, read} of reads) {
				const parsed = read.ok ? configurationPartSchema.safeParse(read.val?.value) : undefined;
				if (parsed?.data === undefined) {
					return Err(read.err ? read.val : createFailure(ERROR_CODES.versionConflict, {detail: `configuration document ${name} is missing or invalid`}));
				}

				parts.push({name, documentId, document: parsed.data});
			}
		}

		return Ok(parts);
	};

	const read = async (): Promise<Result<StoredConfiguration, Failure>> => {
		let failure = createFailure(ERROR_CODES.storeUnavailable);
		for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
			const headRead = await readHead();
			if (headRead.err) {
				return headRead;
			}

			const {head, version} = headRead.val;
			const localCopy = readLocalCopy();
			if (head === undefined) {
				return Ok({
					head, version, copy: localCopy, update: undefined,
				});
			}

			const parts = await readMissingParts(findMissingParts(localCopy, head));
			if (parts.ok) {
				return Ok(toStoredConfiguration(head, version, localCopy, parts.val));
			}

			failure = parts.val;
		}

		return Err(failure);
	};

	const proposeOnce = async (stored: StoredConfiguration, proposal: ConfigurationProposal, baseRevision: number): Promise<ProposalAttemptResult> => {
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
			// A failed removal is ignored: a document that remains only takes up space.
			void removeObject(objectApi, key);
		}

		return {kind: 'ended', result: Ok({receipt: {changeId: proposal.changeId, revision: head.revision}})};
	};

	return {
		read,
		async propose(proposal) {
			let {baseRevision} = proposal;
			let mayBeAccepted = false;
			const deadlineMs = performance.now() + MAX_PROPOSE_MS;
			do {
				const stored = await read();
				if (stored.err) {
					return Err({...stored.val, outcome: toOutcome(mayBeAccepted)});
				}

				if (stored.val.update !== undefined) {
					onUpdate(stored.val.update, 'store');
				}

				baseRevision ??= stored.val.head?.revision ?? 0;
				const attemptResult = await proposeOnce(stored.val, proposal, baseRevision);
				if (attemptResult.kind === 'ended') {
					return attemptResult.result.map(({receipt}) => receipt);
				}

				mayBeAccepted ||= attemptResult.mayBeAccepted;
				await new Promise(resolve => {
					setTimeout(resolve, Math.random() * MAX_PROPOSE_BACKOFF_MS);
				});
			} while (performance.now() < deadlineMs);

			return Err(createFailure(ERROR_CODES.versionConflict, {outcome: toOutcome(mayBeAccepted), detail: `other changes were accepted first for ${MAX_PROPOSE_MS} ms`}));
		},
	};
}

/** Result of one attempt to propose a change. After `again`, a new read shows whether the attempt was accepted. */
type ProposalAttemptResult
	= | {readonly kind: 'again'; readonly mayBeAccepted: boolean}
		| {readonly kind: 'ended'; readonly result: Result<{readonly receipt: ChangeReceipt}, Failure>};

function toOutcome(mayBeAccepted: boolean): Outcome {
	return mayBeAccepted ? OUTCOMES.refusedUnknown : OUTCOMES.refusedNotRun;
}

function toStoredConfiguration(head: ConfigurationHead, version: number, localCopy: ConfigurationCopy, parts: ConfigurationUpdate['parts']): StoredConfiguration {
	const readByName = new Map(parts.map(({name, documentId, document}) => [name, {documentId, document}]));
	const copy: ConfigurationCopy = {
		revision: head.revision,
		parts: new Map(Object.keys(head.parts).map(name => [name, readByName.get(name) ?? localCopy.parts.get(name)!])),
		recentUpdates: [],
	};
	const update = head.revision > localCopy.revision ? {fromRevision: localCopy.revision, revision: head.revision, parts} : undefined;
	return {
		head, version, copy, update,
	};
}

async function removeObject(objectApi: ObjectApiClient, key: string): Promise<void> {
	const existing = await objectApi.read(key);
	if (existing.ok && existing.val !== undefined) {
		await objectApi.remove(key, existing.val.version);
	}
}
