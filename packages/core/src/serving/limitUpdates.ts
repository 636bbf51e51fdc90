/** Keeps what answers of targets and reports of peers say about limits, and selects what peers are told. */
import {
	type AnsweredLimit, isLimited, resolveLimit, resolveReportedLimit, type TargetLimit, toReportedLimit,
} from '../limits/targetLimit.js';
import {applyLimitShares} from '../placement/applyLimitShares.js';
import {type PlacedTarget} from '../placement/placementState.js';
import {type PeerReport, type ServingEffect} from './servingMessages.js';
import {type TargetRecord} from './servingRecords.js';
import {type ServingState} from './servingState.js';

/** Returns the target if the given incarnation is the current one. */
export function findIncarnation({placement}: ServingState, {targetId, startedAtMs}: Pick<TargetRecord, 'targetId' | 'startedAtMs'>): PlacedTarget | undefined {
	const placed = placement.targets.get(targetId);
	return placed?.record.startedAtMs === startedAtMs ? placed : undefined;
}

/** Applies what is newly known about the limit of a target. Logs a change, and reports it to peers if the target told this entry. */
function applyLimit(state: ServingState, target: PlacedTarget, limit: TargetLimit | undefined, {toldBy, nowMs}: {toldBy: string; nowMs: number}): readonly ServingEffect[] {
	if (limit === undefined) {
		return [];
	}

	const isChanged = (target.limit?.requestsPerSecond ?? Number.POSITIVE_INFINITY) !== limit.requestsPerSecond;
	target.limit = limit;
	if (!isChanged) {
		return [];
	}

	applyLimitShares(state.placement, nowMs);
	if (limit.isObservedLocally) {
		state.unreportedLimits.add(target.record.targetId);
	}

	return [
		{
			type: 'decision.record',
			name: isLimited(limit) ? 'target.limited' : 'target.limitEnded',
			subject: target.record.targetId,
			detail: {
				requestsPerSecond: isLimited(limit) ? limit.requestsPerSecond : undefined,
				observedMsAgo: Math.round(nowMs - limit.observedAtMs),
				intervalMs: Number.isFinite(target.limitShare?.intervalMs) ? Math.round(target.limitShare!.intervalMs) : undefined,
				toldBy,
			},
		},
		...(limit.isObservedLocally ? [{type: 'work.report'} as const] : []),
	];
}

/** Applies the limits that a peer has heard from targets. */
export function mergeLimits(state: ServingState, {entryId, limits}: PeerReport, nowMs: number): readonly ServingEffect[] {
	return limits.flatMap(reported => {
		const [targetId, startedAtMs] = reported;
		const target = findIncarnation(state, {targetId, startedAtMs});
		return target === undefined ? [] : applyLimit(state, target, resolveReportedLimit(target.limit, reported, nowMs), {toldBy: entryId, nowMs});
	});
}

/** Applies what an answer to this entry says about the limit of its target. */
export function applyAnsweredLimit(state: ServingState, target: PlacedTarget, answer: AnsweredLimit, nowMs: number): readonly ServingEffect[] {
	return applyLimit(state, target, resolveLimit(target.limit, answer, nowMs), {toldBy: 'answer', nowMs});
}

/** Lists the limits that targets changed in answers to this entry, or all that they named or ended lately, and clears the changes in the state. */
export function takeReportedLimits({placement, unreportedLimits}: ServingState, nowMs: number, isComplete: boolean): PeerReport['limits'] {
	const limits = [...placement.targets.values()]
		.filter(({record}) => isComplete || unreportedLimits.has(record.targetId))
		.map(({record, limit}) => limit && toReportedLimit(record, limit, nowMs));
	unreportedLimits.clear();
	return limits.filter(limit => limit !== undefined);
}
