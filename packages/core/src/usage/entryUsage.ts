/** Usage metering of an entry: counts each attempt, compares the counts with the sidecar's and stores them in the entry's ledger. */
import {
	type AttemptUsage, toLedgerKey, toLedgerNamePrefix, toSealKey, type UsageCounts, type UsageFigures, usageFiguresSchema,
	type UsageLedger, usageLedgerSchema, type UsageSeal,
} from '@damaskspool/shared';
import {type SendUsageCall, type UsageCall, type UsageReply} from './usageCalls.js';
import {mergeUsageCounts} from './usageCounts.js';
import {
	createUsageLedger, isAccounted, settleAttempts, toStoredLedger,
} from './usageLedger.js';

/** Maximum number of queries to a sidecar for an attempt's figures. After them, the entry uses only its own figures. */
const MAX_QUERIES = 3;

/** An attempt whose usage is not stored yet. */
export type MeteredAttempt = {
	usage: AttemptUsage;
	/** Address of the sidecar that ran the attempt. */
	readonly address: string;
	isEnded: boolean;
	/** Whether the figures are final: merged with the sidecar's, or the sidecar did not answer. */
	isFinal: boolean;
	/** Queries for this attempt that returned no figures. */
	queryCount: number;
};

/** Usage metered by an entry. */
export type EntryUsageState = {
	readonly region: string;
	readonly ledgerId: string;
	attempts: Map<number, MeteredAttempt>;
	/** Stored attempts to be reported to their sidecar as settled, by its address. */
	pendingAcknowledgements: Map<string, number[]>;
	/** The ledger as last stored. */
	ledger: UsageLedger;
	/** Version of the stored ledger; zero before the first write. */
	ledgerVersion: number;
	/** Whether the object that names the ledger exists. Sealers find ledgers by these objects. */
	hasNameObject: boolean;
	isStopping: boolean;
	callCount: number;
	/** Purpose of each call in progress, by call identifier. */
	calls: Map<string, PendingCall>;
};

type PendingCall
	= | {readonly purpose: 'settle'; readonly address: string; readonly settled: readonly number[]; readonly queried: readonly number[]}
		| {readonly purpose: 'name'}
		| {readonly purpose: 'store'; readonly ledger: UsageLedger}
		| {readonly purpose: 'readBack'}
		| {readonly purpose: 'checkSeal'; readonly window: number};

/**
 * Creates the state of an entry that has metered nothing.
 *
 * @param ledgerId - identifies this process of the entry; never reused
 */
export function createEntryUsageState(region: string, ledgerId: string): EntryUsageState {
	return {
		region,
		ledgerId,
		attempts: new Map(),
		pendingAcknowledgements: new Map(),
		ledger: createUsageLedger(ledgerId),
		ledgerVersion: 0,
		hasNameObject: false,
		isStopping: false,
		callCount: 0,
		calls: new Map(),
	};
}

/**
 * Records the end of an attempt in `state`.
 *
 * @param counts - usage as the entry counted it
 */
export function recordAttemptEnd(state: EntryUsageState, sequence: number, counts: UsageCounts): void {
	const attempt = state.attempts.get(sequence);
	if (attempt !== undefined) {
		attempt.usage = {...attempt.usage, ...counts};
		attempt.isEnded = true;
	}
}

/**
 * Starts a flush, which compares figures with every sidecar concerned and then
 * stores them in one write. Does nothing while a flush is in progress. Changes
 * `state`.
 *
 * @returns calls to make
 */
export function advanceEntryFlush(state: EntryUsageState): SendUsageCall[] {
	if (state.calls.size > 0) {
		return [];
	}

	const queriedAttempts = [...state.attempts.values()].filter(({isEnded, isFinal}) => isEnded && !isFinal);
	const queriedByAddress = new Map<string, MeteredAttempt[]>();
	for (const attempt of queriedAttempts) {
		const group = queriedByAddress.get(attempt.address) ?? [];
		group.push(attempt);
		queriedByAddress.set(attempt.address, group);
	}

	const addresses = new Set([...queriedByAddress.keys(), ...state.pendingAcknowledgements.keys()]);
	const calls = [...addresses].map(address => settleWithSidecar(state, address, queriedByAddress.get(address) ?? []));
	return calls.length > 0 ? calls : storeLedger(state);
}

/**
 * Applies the reply to a call of the flush. Ignores replies to other calls.
 * Changes `state`.
 *
 * @returns calls to make
 */
export function applyEntryReply(state: EntryUsageState, callId: string, reply: UsageReply): SendUsageCall[] {
	const pending = state.calls.get(callId);
	if (pending === undefined) {
		return [];
	}

	state.calls.delete(callId);
	const handle = REPLY_HANDLERS[pending.purpose] as (state: EntryUsageState, pending: PendingCall, reply: UsageReply) => SendUsageCall[];
	return handle(state, pending, reply);
}

type ReplyHandlers = {
	readonly [Purpose in PendingCall['purpose']]:
	(state: EntryUsageState, pending: Extract<PendingCall, {purpose: Purpose}>, reply: UsageReply) => SendUsageCall[];
};

const REPLY_HANDLERS: ReplyHandlers = {
	settle(state, pending, reply) {
		const figures = reply.status === 'ok' ? usageFiguresSchema.safeParse(reply.value).data : undefined;
		if (figures === undefined) {
			retainAcknowledgements(state, pending.address, pending.settled);
		} else {
			applyFigures(state, figures);
		}

		settleUnanswered(state, pending.queried);
		return state.calls.size === 0 ? storeLedger(state) : [];
	},

	name(state, _pending, reply) {
		state.hasNameObject = reply.status === 'ok' || reply.status === 'conflict';
		return state.hasNameObject ? storeLedger(state) : [];
	},

	store(state, {ledger}, reply) {
		if (reply.status !== 'ok') {
			return [startCall(state, {purpose: 'readBack'}, {kind: 'read', key: toLedgerKey(state.region, state.ledgerId)})];
		}

		applyStoredLedger(state, ledger, reply.version ?? 0);
		return checkSeal(state);
	},

	readBack(state, _pending, reply) {
		if (reply.status === 'absent') {
			state.hasNameObject = false;
			applyStoredLedger(state, createUsageLedger(state.ledgerId), 0);
		}

		const stored = reply.status === 'ok' ? usageLedgerSchema.safeParse(reply.value).data : undefined;
		if (stored === undefined || reply.status !== 'ok') {
			return [];
		}

		applyStoredLedger(state, stored, reply.version ?? 0);
		return checkSeal(state);
	},

	checkSeal(state, {window}, reply) {
		const sources = reply.status === 'ok' ? (reply.value as UsageSeal).sources : [];
		if (sources.includes(state.ledgerId)) {
			// The window's parts hold the sealed figures. Removing them here keeps the ledger below the object API's size limit.
			const frozen = state.ledger.frozen.filter(part => part.window !== window);
			return [startStore(state, {...state.ledger, frozen})];
		}

		return [];
	},
};

function settleWithSidecar(state: EntryUsageState, address: string, queriedAttempts: readonly MeteredAttempt[]): SendUsageCall {
	const settled = state.pendingAcknowledgements.get(address) ?? [];
	const queried = queriedAttempts.map(({usage}) => usage.sequence);
	state.pendingAcknowledgements.delete(address);
	return startCall(
		state,
		{
			purpose: 'settle', address, settled, queried,
		},
		{kind: 'settle', address, settlement: {ledgerId: state.ledgerId, settled: [...settled], asked: queried}},
	);
}

function applyFigures(state: EntryUsageState, {figures}: UsageFigures): void {
	for (const {sequence, counts} of figures) {
		const attempt = state.attempts.get(sequence);
		if (attempt !== undefined && !attempt.isFinal) {
			if (counts !== undefined) {
				// The sidecar's time excludes the network and its queue, so it replaces the entry's time.
				attempt.usage = {...attempt.usage, ...mergeUsageCounts(attempt.usage, counts), targetMs: counts.targetMs};
			}

			attempt.isFinal = true;
		}
	}
}

/** Makes the entry's own figures final after {@link MAX_QUERIES} unanswered queries, or at once while the entry stops. A sidecar that has ended never answers. */
function settleUnanswered(state: EntryUsageState, queried: readonly number[]): void {
	for (const sequence of queried) {
		const attempt = state.attempts.get(sequence);
		if (attempt !== undefined && !attempt.isFinal) {
			attempt.queryCount += 1;
			attempt.isFinal = state.isStopping || attempt.queryCount >= MAX_QUERIES;
		}
	}
}

/**
 * Retains acknowledgements that did not reach a sidecar, as long as the entry
 * has unstored attempts that ran there. Otherwise drops them: if the sidecar
 * stores the attempts as orphans, the sealer finds that they are settled.
 */
function retainAcknowledgements(state: EntryUsageState, address: string, settled: readonly number[]): void {
	const hasUnstoredAttempts = [...state.attempts.values()].some(attempt => attempt.address === address);
	if (hasUnstoredAttempts && settled.length > 0) {
		state.pendingAcknowledgements.set(address, [...settled, ...(state.pendingAcknowledgements.get(address) ?? [])]);
	}
}

function storeLedger(state: EntryUsageState): SendUsageCall[] {
	const finalUsage = [...state.attempts.values()].filter(({isFinal}) => isFinal).map(({usage}) => usage);
	if (finalUsage.length === 0) {
		return checkSeal(state);
	}

	if (!state.hasNameObject) {
		const key = `${toLedgerNamePrefix(state.region)}${state.ledgerId}`;
		return [startCall(state, {purpose: 'name'}, {
			kind: 'write', key, value: {}, version: 0,
		})];
	}

	return [startStore(state, settleAttempts(state.ledger, finalUsage))];
}

function startStore(state: EntryUsageState, ledger: UsageLedger): SendUsageCall {
	return startCall(state, {purpose: 'store', ledger}, {
		kind: 'write', key: toLedgerKey(state.region, state.ledgerId), value: toStoredLedger(ledger), version: state.ledgerVersion,
	});
}

/** Records the stored ledger and moves the attempts that it includes to the pending acknowledgements. */
function applyStoredLedger(state: EntryUsageState, ledger: UsageLedger, version: number): void {
	state.ledger = ledger;
	state.ledgerVersion = version;
	for (const [sequence, {address}] of state.attempts) {
		if (isAccounted(ledger, sequence)) {
			state.attempts.delete(sequence);
			state.pendingAcknowledgements.set(address, [...(state.pendingAcknowledgements.get(address) ?? []), sequence]);
		}
	}
}

function checkSeal(state: EntryUsageState): SendUsageCall[] {
	const frozen = state.ledger.frozen.find(({rows}) => rows.length > 0);
	return frozen === undefined
		? []
		: [startCall(state, {purpose: 'checkSeal', window: frozen.window}, {kind: 'read', key: toSealKey(state.region, frozen.window)})];
}

function startCall(state: EntryUsageState, pending: PendingCall, call: UsageCall): SendUsageCall {
	state.callCount += 1;
	const callId = `entry-usage-${state.callCount}`;
	state.calls.set(callId, pending);
	return {type: 'usage.call', callId, call};
}
