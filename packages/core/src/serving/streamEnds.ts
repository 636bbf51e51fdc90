/**
 * Ends of streams that have neither a length nor chunks. Their target ends them by closing the connection, which a target
 * that breaks off may do as well. Where that is unusual, another target is asked what is left. What it does can only add
 * events: if it fails, the end counts as its target has given it.
 */
import {type PlacedTarget} from '../placement/placementState.js';
import {ANSWER_FRAMINGS, type AnswerFraming} from '../request/answerFraming.js';
import {computePatienceMs} from './computePatienceMs.js';
import {type ServingEvent} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** How an answer was framed, and the last event that its caller has. */
type StreamEnd = Pick<Extract<ServingEvent, {type: 'attempt.ended'}>, 'framing' | 'lastEventId'>;

/** The end of a stream that another target is asked to confirm. */
export type ClosedEnd = {
	readonly target: PlacedTarget;
	readonly framing: AnswerFraming | undefined;
	/** Last event that the caller has. */
	readonly lastEventId: string | undefined;
	/** Time at which the end counts, if no further event has come. */
	readonly confirmUntilMs: number;
	/** Whether the rest of the stream has come, or begun to. */
	hasRestBegun: boolean;
};

/** Streams that a target must have ended by closing its connection, and none otherwise, until that needs no confirmation. */
const MIN_CLOSED_STREAMS = 3;
/** Part of the patience of callers for which the end of a stream may wait for its confirmation. They still receive an event that comes until then. */
const CONFIRMATION_PATIENCE_SHARE = 0.5;

/** Part of the retry budget that confirmations may use. The rest is left to calls that have no answer. */
export const CONFIRMATION_BUDGET_SHARE = 0.5;

/** Returns whether another target should be asked what is left when this one ends a stream by closing its connection. */
export function isCloseDoubtful({servicesWithDelimitedStreams}: ServingState, {serviceId, route}: ServingCall, {streamEnds}: PlacedTarget): boolean {
	const isUsual = streamEnds.delimited === 0 && streamEnds.closed >= MIN_CLOSED_STREAMS;
	return route.isResumable && !isUsual && servicesWithDelimitedStreams.has(serviceId);
}

/** Records that the target of a call has ended a stream between events by closing its connection. */
export function beginConfirmation(call: ServingCall, {framing, lastEventId}: StreamEnd, nowMs: number): void {
	call.closedEnd = {
		target: call.attempt!.target,
		framing,
		lastEventId,
		confirmUntilMs: nowMs + (computePatienceMs(call.route) * CONFIRMATION_PATIENCE_SHARE),
		hasRestBegun: false,
	};
}

/** Records that the target which was asked what is left has answered: the end counts as it says. */
export function beginRest({closedEnd}: ServingCall): void {
	if (closedEnd !== undefined) {
		closedEnd.hasRestBegun = true;
	}
}

/** Finds the end of a stream that its target has given and nothing has disproved. */
export function findClosedEnd({closedEnd}: ServingCall): ClosedEnd | undefined {
	return closedEnd?.hasRestBegun === false ? closedEnd : undefined;
}

/** Records how a stream ended that its caller has whole. */
export function recordStreamEnd(state: ServingState, call: ServingCall, {framing, lastEventId}: StreamEnd): void {
	const {closedEnd, attempt, serviceId} = call;
	if (closedEnd !== undefined) {
		closedEnd.target.streamEnds[closedEnd.lastEventId === lastEventId ? 'closed' : 'delimited'] += 1;
	}

	if (framing === ANSWER_FRAMINGS.connection) {
		attempt!.target.streamEnds.closed += 1;
	} else if (framing !== undefined) {
		attempt!.target.streamEnds.delimited += 1;
		state.servicesWithDelimitedStreams.add(serviceId);
	}
}
