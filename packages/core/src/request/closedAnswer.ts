/** Decides whether an answer that ended with its connection is whole. A process that is killed closes its connections as well. */

/** What became of a silent connection to a process behind the end of an answer of it. */
export const WITNESS_STATES = {
	/** None was open. */
	none: 'none',
	/** It is still open. */
	open: 'open',
	/** It closed at about the same time. */
	closed: 'closed',
} as const;

/** Value of {@link WITNESS_STATES}. */
export type WitnessState = typeof WITNESS_STATES[keyof typeof WITNESS_STATES];

/** What tells a target that has sent its whole answer from one whose process has ended. */
export type CloseSigns = {
	/** Whether the target accepts connections after the end; undefined if that is not known. */
	readonly isListening: boolean | undefined;
	/** Whether it refused a connection while the answer was under way, and went on with the answer. */
	readonly hasOutlivedRefusal: boolean;
	readonly witness: WitnessState;
	/** Whether the target has announced that it stops, or its registration was removed. */
	readonly isLeaving: boolean;
};

/** What an answer counts as that ended with its connection. */
export const CLOSED_ANSWER_USES = {
	whole: 'whole',
	/** Another target can tell whether anything is left. */
	doubtful: 'doubtful',
	broken: 'broken',
} as const;

/** Value of {@link CLOSED_ANSWER_USES}. */
export type ClosedAnswerUse = typeof CLOSED_ANSWER_USES[keyof typeof CLOSED_ANSWER_USES];

/** Form of an answer. */
type AnswerForm = {
	/** Whether another target can send what is left. */
	readonly isResumable: boolean;
	/** Whether it consists of events. */
	readonly isStream: boolean;
};

/** Decides what an answer counts as that ended with its connection. */
export function decideClosedAnswer({isListening, hasOutlivedRefusal, witness, isLeaving}: CloseSigns, {isResumable, isStream}: AnswerForm): ClosedAnswerUse {
	if (isListening !== false || witness === WITNESS_STATES.open) {
		return CLOSED_ANSWER_USES.whole;
	}

	// A stream goes on elsewhere or is taken up by its caller, so that an announced leave alone does not make a part of it whole.
	const mayLiveUnseen = hasOutlivedRefusal || (isLeaving && !isStream);
	// The connections of a process that ends close together.
	if (witness === WITNESS_STATES.closed || !mayLiveUnseen) {
		return CLOSED_ANSWER_USES.broken;
	}

	// A process that has stopped listening may still be killed before its answer is complete.
	return isResumable ? CLOSED_ANSWER_USES.doubtful : CLOSED_ANSWER_USES.whole;
}
