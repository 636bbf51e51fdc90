/** Usage metering of a sidecar: counts each attempt a second time and stores attempts that no entry settles as orphans. */
import {
	type AttemptUsage, toOrphansPrefix, type UsageCounts, usageCountsSchema, type UsageFigures, type UsageSettlement,
} from '@damaskspool/shared';
import {type SendUsageCall, type UsageReply} from './usageCalls.js';

/** Maximum number of attempts in one object. At about 250 bytes each, the object stays well below the limit of one megabyte. */
const MAX_ORPHANS_PER_OBJECT = 1000;
/** Stored attempts are retained for this multiple of `orphanAfterMs`, so their entry can still query them. */
const RETENTION_FACTOR = 4;

/** An attempt that no entry has settled yet. */
export type UnsettledAttempt = {
	usage: AttemptUsage;
	/** Undefined while the attempt runs. */
	endedAtMs: number | undefined;
	/** Whether the sidecar has stored the attempt as an orphan. */
	isStored: boolean;
};

/** Usage metered by a sidecar. */
export type SidecarUsageState = {
	readonly region: string;
	/** Identifies this process of the sidecar; never reused. */
	readonly runId: string;
	/** Time that an entry has to settle an ended attempt before the sidecar stores it. */
	readonly orphanAfterMs: number;
	/** Unsettled attempts, by ledger and sequence number. */
	attempts: Map<string, UnsettledAttempt>;
	objectCount: number;
	/** The object being written. The write is retried unchanged until the object exists. */
	pendingWrite: {readonly callId: string; readonly attempts: readonly AttemptUsage[]; isInFlight: boolean} | undefined;
};

/** Options of {@link createSidecarUsageState}. */
export type SidecarUsageOptions = {
	readonly region: string;
	readonly runId: string;
	readonly orphanAfterMs: number;
};

/** Creates the state of a sidecar that has metered nothing. */
export function createSidecarUsageState(options: SidecarUsageOptions): SidecarUsageState {
	return {
		...options, attempts: new Map(), objectCount: 0, pendingWrite: undefined,
	};
}

/**
 * Records the start of an attempt in `state`.
 *
 * @param usage - the attempt, with zero counts
 */
export function recordSidecarStart(state: SidecarUsageState, usage: AttemptUsage): void {
	state.attempts.set(toAttemptKey(usage.ledgerId, usage.sequence), {usage, endedAtMs: undefined, isStored: false});
}

/** The end of an attempt; see {@link recordSidecarEnd}. */
export type SidecarAttemptEnd = {
	readonly ledgerId: string;
	readonly sequence: number;
	readonly counts: UsageCounts;
	readonly nowMs: number;
};

/** Records the end of an attempt and its counts in `state`. */
export function recordSidecarEnd(state: SidecarUsageState, end: SidecarAttemptEnd): void {
	const attempt = state.attempts.get(toAttemptKey(end.ledgerId, end.sequence));
	if (attempt !== undefined) {
		attempt.usage = {...attempt.usage, ...end.counts};
		attempt.endedAtMs = end.nowMs;
	}
}

/**
 * Selects the figures that an entry requests. Omits attempts that still run, so
 * the entry requests them again. Returns no counts for unknown attempts.
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

/** Removes attempts that an entry has stored from `state`. */
export function settleSidecarAttempts(state: SidecarUsageState, settlement: UsageSettlement): void {
	for (const sequence of settlement.settled) {
		state.attempts.delete(toAttemptKey(settlement.ledgerId, sequence));
	}
}

/**
 * Stores attempts whose entry did not settle them in time. The sealer of the
 * window checks whether the entry has stored them in the meantime. Changes
 * `state`.
 *
 * @param isStopping - whether this process ends, so ended attempts are stored without waiting for their entry
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

/** Applies the reply to a write of orphans to `state`. Ignores replies to other calls. */
export function applyOrphansReply(state: SidecarUsageState, callId: string, reply: UsageReply): void {
	const {pendingWrite} = state;
	if (pendingWrite?.callId !== callId) {
		return;
	}

	// Only this process writes under the key, so a conflict means that an earlier try took effect.
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

/** Checks whether every attempt is settled or stored, so the process may end without losing usage. */
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
