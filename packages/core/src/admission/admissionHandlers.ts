import {createFailure, ERROR_CODES, type ErrorCode} from '@damaskspool/shared';
import {recordWorkEnded, recordWorkStarted} from '../limits/virtualTokenCounters.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type SidecarEffect} from '../reducer/sidecarEffects.js';
import {type SidecarEvent} from '../reducer/sidecarEvents.js';
import {type SidecarState} from '../reducer/sidecarState.js';
import {
	type AdmissionState, countKvBlocks, hasCapacityFor, type Work,
} from './admissionState.js';
import {enqueueWork, pickDisplacedWork, pickNextWork} from './waitingQueue.js';

/** Retry delay that a refusal suggests to the caller. */
const QUEUE_RETRY_AFTER_MS = 500;

/** Event handlers that queue, start and refuse the work of a sidecar's target. */
export const admissionHandlers: HandlerTable<SidecarState, SidecarEvent, SidecarEffect> = {
	'work.received'({admission}, {work, nowMs}) {
		const refusalCode = findRefusalCode(admission, work, nowMs);
		const displaced = refusalCode === ERROR_CODES.queueFull ? pickDisplacedWork(admission, work) : undefined;
		if (refusalCode !== undefined && displaced === undefined) {
			return [createRefusal(work, refusalCode)];
		}

		admission.waiting = admission.waiting.filter(waiting => waiting !== displaced);
		enqueueWork(admission, work);
		return [
			...displaced === undefined ? [] : [createRefusal(displaced, ERROR_CODES.queueFull)],
			...startWaitingWork(admission),
		];
	},

	'work.answered'({admission}, {attemptId}) {
		admission.prefillTokensTotal += admission.prefillingTokens.get(attemptId) ?? 0;
		admission.prefillingTokens.delete(attemptId);
		return [];
	},

	'work.ended'({admission}, {attemptId, generatedTokens}) {
		admission.generatedTokensTotal += generatedTokens;
		releaseWork(admission, attemptId, generatedTokens);
		return startWaitingWork(admission);
	},

	'work.cancelled'({admission}, {attemptId}) {
		if (admission.running.has(attemptId)) {
			return [{type: 'work.cancel', attemptId}];
		}

		admission.waiting = admission.waiting.filter(work => work.attemptId !== attemptId);
		// The cancelled work may have blocked the queue because it needed more memory than is free; smaller work behind it may fit.
		return startWaitingWork(admission);
	},

	'target.reported'({admission}, event) {
		admission.role = event.role;
		admission.models = event.models;
		admission.targetReportedAtMs = event.nowMs;
		return startWaitingWork(admission);
	},

	tick({admission}, {nowMs}) {
		const expired = admission.waiting.filter(work => work.deadlineAtMs <= nowMs);
		admission.waiting = admission.waiting.filter(work => work.deadlineAtMs > nowMs);
		return expired.map(work => createRefusal(work, ERROR_CODES.deadlineHopeless));
	},

	'stop.requested'(state) {
		state.isStopping = true;
		const refused = state.admission.waiting;
		state.admission.waiting = [];
		return refused.map(work => createRefusal(work, ERROR_CODES.leaving));
	},
};

/** Returns the error code if new work can neither start nor wait, else undefined. */
function findRefusalCode(admission: AdmissionState, work: Work, nowMs: number): ErrorCode | undefined {
	if (admission.lifecycleState !== 'serving') {
		return ERROR_CODES.leaving;
	}

	if (work.deadlineAtMs <= nowMs) {
		return ERROR_CODES.deadlineHopeless;
	}

	const isFull = admission.waiting.length >= admission.capacity.queueLimit;
	return isFull && !hasCapacityFor(admission, work) ? ERROR_CODES.queueFull : undefined;
}

function createRefusal(work: Work, code: ErrorCode): SidecarEffect {
	const failure = createFailure(code, {retryAfterMs: QUEUE_RETRY_AFTER_MS});
	return {type: 'work.refuse', attemptId: work.attemptId, failure};
}

/**
 * Starts waiting work until the next work in line does not fit. Smaller work never
 * overtakes it, because large work would starve.
 */
function startWaitingWork(admission: AdmissionState): readonly SidecarEffect[] {
	const effects: SidecarEffect[] = [];
	for (;;) {
		const next = pickNextWork(admission);
		if (next === undefined || !hasCapacityFor(admission, next)) {
			return effects;
		}

		admission.waiting.splice(admission.waiting.indexOf(next), 1);
		admission.running.set(next.attemptId, next);
		admission.usedKvBlocks += countKvBlocks(next);
		recordWorkStarted(admission.tokenCounters, next);
		admission.prefillingTokens.set(next.attemptId, next.prefillTokens);
		effects.push({type: 'work.start', attemptId: next.attemptId});
	}
}

function releaseWork(admission: AdmissionState, attemptId: string, generatedTokens: number): void {
	const work = admission.running.get(attemptId);
	if (work === undefined) {
		return;
	}

	admission.running.delete(attemptId);
	admission.prefillingTokens.delete(attemptId);
	admission.usedKvBlocks -= countKvBlocks(work);
	recordWorkEnded(admission.tokenCounters, work, generatedTokens);
	if (admission.running.size + admission.waiting.length === 0) {
		admission.tokenCounters.clear();
	}
}
