/**
 * How services number the events of their streams. Numbers must increase. That they are consecutive, so that a gap is an
 * event that is missing, follows from whole streams of the service, and no longer once two of its targets left events out.
 */
import {type StreamForm} from '../request/eventOrder.js';
import {type PlacedTarget} from '../placement/placementState.js';
import {ATTEMPT_RESULTS, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';
import {hasEarlierEvents} from './streamContinuity.js';

/** What whole streams have shown of a service. */
export type ServiceStreamForm = {
	/** Events of whole streams without a gap that had the number after the last one. */
	steps: number;
	/** Targets that have sent a whole stream with gaps, or the same gap as another one. */
	readonly targetsWithGaps: Set<string>;
};

/** Numbers that the events of a call leave out. */
export type EventGaps = {
	/** Whether the caller has events with gaps between them. */
	readonly hasPassed: boolean;
	/** Event that a target has sent after the last one of the caller, and that was refused because its number leaves others out. */
	readonly refused: {readonly targetId: string; readonly number: number} | undefined;
};

/** Steps after which numbers count as consecutive. */
const MIN_STEPS = 2;
/** Targets that left out events after which numbers do not count as consecutive any more. */
const MIN_TARGETS_WITH_GAPS = 2;

/** Returns whether the numbers of events of a service are known to be consecutive. */
export function hasConsecutiveEvents({streamForms}: Pick<ServingState, 'streamForms'>, serviceId: string): boolean {
	const form = streamForms.get(serviceId);
	return form !== undefined && form.steps >= MIN_STEPS && form.targetsWithGaps.size < MIN_TARGETS_WITH_GAPS;
}

/** Finds the number that another target has sent after the last event of a call, and that was refused. */
export function findRefusedNumber({eventGaps}: ServingCall, {record}: PlacedTarget): number | undefined {
	const refused = eventGaps?.refused;
	return refused?.targetId === record.targetId ? undefined : refused?.number;
}

/**
 * Records what the events of an attempt that has ended show of its service.
 *
 * @returns the log line if numbers count as consecutive now, or no longer
 */
export function recordStreamForm(state: ServingState, call: ServingCall, {result, streamForm}: Extract<ServingEvent, {type: 'attempt.ended'}>): readonly ServingEffect[] {
	if (streamForm === undefined) {
		return [];
	}

	const {serviceId, eventGaps} = call;
	const {targetId} = call.attempt!.target.record;
	const wereConsecutive = hasConsecutiveEvents(state, serviceId);
	const form = state.streamForms.get(serviceId) ?? {steps: 0, targetsWithGaps: new Set()};
	state.streamForms.set(serviceId, form);
	call.eventGaps = findEventGaps(call, streamForm, targetId);
	const isWhole = result === ATTEMPT_RESULTS.answered;
	// Of a stream that a caller takes up, the beginning is not known.
	if (isWhole && !call.eventGaps.hasPassed && !hasEarlierEvents(call)) {
		form.steps = Math.min(MIN_STEPS, form.steps + streamForm.steps);
	}

	if (streamForm.isGapConfirmed && eventGaps?.refused !== undefined) {
		addTarget(form, eventGaps.refused.targetId);
	}

	if (streamForm.isGapConfirmed || (isWhole && streamForm.gaps > 0)) {
		addTarget(form, targetId);
	}

	const isConsecutive = hasConsecutiveEvents(state, serviceId);
	return isConsecutive === wereConsecutive
		? []
		: [{
			type: 'decision.record', name: 'service.streamForm', subject: serviceId, detail: {
				isConsecutive, target: targetId, targetsWithGaps: [...form.targetsWithGaps], requestId: call.request.requestId,
			},
		}];
}

function addTarget({targetsWithGaps}: ServiceStreamForm, targetId: string): void {
	if (targetsWithGaps.size < MIN_TARGETS_WITH_GAPS) {
		targetsWithGaps.add(targetId);
	}
}

function findEventGaps({eventGaps}: ServingCall, {hasEvents, gaps, refusedNumber}: StreamForm, targetId: string): EventGaps {
	const hasPassed = eventGaps?.hasPassed === true || gaps > 0;
	if (refusedNumber !== undefined) {
		return {hasPassed, refused: {targetId, number: refusedNumber}};
	}

	return {hasPassed, refused: hasEvents ? undefined : eventGaps?.refused};
}
