/** How a sidecar meters: it counts each attempt a second time, and stores those that no entry settles. */
import {
	type AttemptUsage, toOrphansPrefix, type UsageCounts, usageCountsSchema, type UsageFigures, type UsageSettlement,
} from '@damaskspool/shared';
import {type SendUsageCall, type UsageReply} from './usageCalls.js';

/** Attempts in one object: about 250 bytes each, well under the limit of a megabyte. */
const MAX_ORPHANS_PER_OBJECT = 1000;
/** An attempt that was stored is kept for its entry's questions for so many times the wait. */
const RETENTION_FACTOR = 4;

/** An attempt that no entry has settled yet. */
export type UnsettledAttempt = {
	usage: AttemptUsage;
	/** Undefined while it runs. */
	endedAtMs: number | undefined;
	isStored: boolean;
};

/** What a sidecar knows of the usage that it metered. */
export type SidecarUsageState = {
	readonly region: string;
	/** Names this run of the sidecar among all runs ever. */
	readonly runId: string;
	/** Wait for an entry's settlement before an attempt is stored from here. */
	readonly orphanAfterMs: number;
	attempts: Map<string, UnsettledAttempt>;
	objectCount: number;
	/** The object that is being written, and written again unchanged until it is there. */
	pendingWrite: {readonly callId: string; readonly attempts: readonly AttemptUsage[]; isInFlight: boolean} | undefined;
};

/** Options of {@link createSidecarUsageState}. */
export type SidecarUsageOptions = {
	readonly region: string;
	readonly runId: string;
	readonly orphanAfterMs: number;
};

/**
 * Creates the state of a sidecar that metered nothing.
 *
 * @param options - where the sidecar is, and how long it waits for entries
 * @returns the state
 */
export function createSidecarUsageState(options: SidecarUsageOptions): SidecarUsageState {
	return {
		...options, attempts: new Map(), objectCount: 0, pendingWrite: undefined,
	};
}

/**
 * Counts the start of an attempt.
 *
 * @param state - usage to change
 * @param usage - the attempt, with no counts yet
 */
export function recordSidecarStart(state: SidecarUsageState, usage: AttemptUsage): void {
	state.attempts.set(toAttemptKey(usage.ledgerId, usage.sequence), {usage, endedAtMs: undefined, isStored: false});
}

/** Options of {@link recordSidecarEnd}. */
export type SidecarAttemptEnd = {
	readonly ledgerId: string;
	readonly sequence: number;
	readonly counts: UsageCounts;
	readonly nowMs: number;
};

/**
 * Counts the end of an attempt.
 *
 * @param state - usage to change
 * @param end - the attempt and what it used
 */
export function recordSidecarEnd(state: SidecarUsageState, end: SidecarAttemptEnd): void {
	const attempt = state.attempts.get(toAttemptKey(end.ledgerId, end.sequence));
	if (attempt !== undefined) {
		attempt.usage = {...attempt.usage, ...end.counts};
		attempt.endedAtMs = end.nowMs;
	}
}

/**
 * Reads the figures that an entry asks for. An attempt that still runs is left
 * out, so that it is asked for again.
 *
 * @param state - usage
 * @param settlement - the entry's question
 * @returns figures of attempts that ended, and no counts for those unknown
 */
export function selectFigures(state: SidecarUsageState, settlement: UsageSettlement): UsageFigures {
	const figures = settlement.asked.flatMap(sequence => {
		const attempt = state.attempts.get(toAttemptKey(settlement.ledgerId, sequence));
		if (attempt === undefined) {
			return [{sequence}];
		}

		return attempt.endedAtMs === undefined ? [] : [{sequence, counts: usageCountsSchema.parse(attempt.usage)}];
	});
	return {figures};
}

/**
 * Forgets attempts that an entry has stored.
 *
 * @param state - usage to change
 * @param settlement - what the entry said
 */
export function settleSidecarAttempts(state: SidecarUsageState, settlement: UsageSettlement): void {
	for (const sequence of settlement.settled) {
		state.attempts.delete(toAttemptKey(settlement.ledgerId, sequence));
	}
}

/**
 * Stores attempts whose entry did not settle them in time. Whoever seals the
 * window finds out whether the entry had stored them after all.
 *
 * @param state - usage to change
 * @param nowMs - present time
 * @param isStopping - whether this process ends, so that nothing is waited for
 * @returns calls to make
 */
export function advanceOrphans(state: SidecarUsageState, nowMs: number, isStopping: boolean): SendUsageCall[] {
	expireStoredAttempts(state, nowMs);
	if (state.pendingWrite === undefined) {
		const attempts = [...state.attempts.values()]
			.filter(({endedAtMs, isStored}) =>
				!isStored && endedAtMs !== undefined && (isStopping || endedAtMs + state.orphanAfterMs <= nowMs))
			.slice(0, MAX_ORPHANS_PER_OBJECT)
			.map(({usage}) => usage);
		if (attempts.length === 0) {
			return [];
		}

		state.objectCount += 1;
		state.pendingWrite = {callId: `sidecar-usage-${state.objectCount}`, attempts, isInFlight: false};
	}

	const {pendingWrite} = state;
	if (pendingWrite.isInFlight) {
		return [];
	}

	pendingWrite.isInFlight = true;
	const key = `${toOrphansPrefix(state.region)}${state.runId}/${state.objectCount}`;
	return [{
		type: 'usage.call',
		callId: pendingWrite.callId,
		call: {
			kind: 'write', key, value: {attempts: pendingWrite.attempts}, version: 0,
		},
	}];
}

/**
 * Takes the reply to a write of attempts.
 *
 * @param state - usage to change
 * @param callId - the call
 * @param reply - what became of it
 */
export function applyOrphansReply(state: SidecarUsageState, callId: string, reply: UsageReply): void {
	const {pendingWrite} = state;
	if (pendingWrite?.callId !== callId) {
		return;
	}

	// The key is this run's own, so a conflict says that an earlier try took effect.
	if (reply.status !== 'ok' && reply.status !== 'conflict') {
		pendingWrite.isInFlight = false;
		return;
	}

	state.pendingWrite = undefined;
	for (const {ledgerId, sequence} of pendingWrite.attempts) {
		const attempt = state.attempts.get(toAttemptKey(ledgerId, sequence));
		if (attempt !== undefined) {
			attempt.isStored = true;
		}
	}
}

/**
 * Tells whether everything that ended is settled or stored.
 *
 * @param state - usage
 * @returns whether the process may end without loss
 */
export function isSidecarUsageStored(state: SidecarUsageState): boolean {
	return [...state.attempts.values()].every(attempt => attempt.isStored);
}

function expireStoredAttempts(state: SidecarUsageState, nowMs: number): void {
	const retentionMs = state.orphanAfterMs * RETENTION_FACTOR;
	for (const [key, {endedAtMs, isStored}] of state.attempts) {
		if (isStored && endedAtMs !== undefined && endedAtMs + retentionMs <= nowMs) {
			state.attempts.delete(key);
		}
	}
}

function toAttemptKey(ledgerId: string, sequence: number): string {
	return `${ledgerId};${sequence}`;
}
