/**
 * Decides what becomes of an answer of a target. The caller may already have part of an answer, from an earlier attempt or
 * from an earlier request whose stream it takes up. Only the remaining events of a stream may follow that part.
 */

/** What a caller has received of an answer. */
export const SENT_FORMS = {
	nothing: 'nothing',
	/** Complete events of a stream. */
	events: 'events',
	/** Part of a body that only its own target can complete. */
	body: 'body',
} as const;

/** Value of {@link SENT_FORMS}. */
export type SentForm = (typeof SENT_FORMS)[keyof typeof SENT_FORMS];

/** What becomes of an answer. */
export const ANSWER_USES = {
	forwardEvents: 'forwardEvents',
	forwardBody: 'forwardBody',
	/** The attempt has failed. The answer is forwarded at most as a whole, in place of any other. */
	failAttempt: 'failAttempt',
	/** The answer proves nothing about the request. */
	reject: 'reject',
	/** The answer is a success, but not the rest of the stream that the caller takes up. A caller would take it for that. */
	rejectOther: 'rejectOther',
} as const;

/** Value of {@link ANSWER_USES}. */
export type AnswerUse = (typeof ANSWER_USES)[keyof typeof ANSWER_USES];

/** The head of an answer, and what the caller has received before it. */
export type AnswerFacts = {
	readonly status: number;
	/** Whether the head carries the target's signature. */
	readonly isSigned: boolean;
	/** Whether the body is declared as a stream of events. */
	readonly isEventStream: boolean;
	readonly sentForm: SentForm;
	/** Whether the caller has events of the stream from an earlier request. */
	readonly isTakeUp: boolean;
};

const STATUS_OK = 200;
/** Lowest status that is no success. */
const MIN_OTHER_STATUS = 300;
/** Lowest status that stands for a failure of the target. */
const MIN_FAILURE_STATUS = 500;
/** Statuses below {@link MIN_FAILURE_STATUS} with which a target refuses a request. */
const REFUSING_STATUSES: ReadonlySet<number> = new Set([408, 429]);
/** Statuses that promise the caller that the request did not run. An answer of a target with such a status is never forwarded. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([...REFUSING_STATUSES, 503]);

/** Decides what becomes of an answer by its head. */
export function decideAnswerUse({status, isSigned, isEventStream, sentForm, isTakeUp}: AnswerFacts): AnswerUse {
	if (status >= MIN_FAILURE_STATUS || REFUSING_STATUSES.has(status)) {
		return ANSWER_USES.failAttempt;
	}

	if (!isSigned) {
		return ANSWER_USES.reject;
	}

	const isStream = isEventStream && status === STATUS_OK;
	if (sentForm === SENT_FORMS.nothing) {
		if (isStream) {
			return ANSWER_USES.forwardEvents;
		}

		return isTakeUp && status < MIN_OTHER_STATUS ? ANSWER_USES.rejectOther : ANSWER_USES.forwardBody;
	}

	return isStream && sentForm === SENT_FORMS.events ? ANSWER_USES.forwardEvents : ANSWER_USES.failAttempt;
}

/** Returns whether a status promises that the request did not run. */
export function isNotRunStatus(status: number): boolean {
	return NOT_RUN_STATUSES.has(status);
}
