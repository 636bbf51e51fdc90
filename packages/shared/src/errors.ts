import {OUTCOMES, type Outcome} from './outcomes.js';

/** Codes of all errors that are reported to callers, operators or peer processes. */
export const ERROR_CODES = {
	keyMissing: 'key_missing',
	keyUnknown: 'key_unknown',
	keyInBody: 'key_in_body',
	keysStale: 'keys_stale',
	bodyTooLarge: 'body_too_large',
	bodyNotJson: 'body_not_json',
	headerInvalid: 'header_invalid',
	routeUnknown: 'route_unknown',
	modelUnknown: 'model_unknown',
	notReady: 'not_ready',
	noTarget: 'no_target',
	queueFull: 'queue_full',
	leaving: 'leaving',
	overloaded: 'overloaded',
	deadlineExceeded: 'deadline_exceeded',
	deadlineHopeless: 'deadline_hopeless',
	rateLimited: 'rate_limited',
	allotmentUsed: 'allotment_used',
	quarantined: 'quarantined',
	partQuarantined: 'part_quarantined',
	streamVersionUnknown: 'stream_version_unknown',
	targetUnreachable: 'target_unreachable',
	targetFailed: 'target_failed',
	stopped: 'stopped',
	requestAbandoned: 'request_abandoned',
	answerAbandoned: 'answer_abandoned',
	answerMalformed: 'answer_malformed',
	answerCrossed: 'answer_crossed',
	duplicateCall: 'duplicate_call',
	storeUnavailable: 'store_unavailable',
	watchCut: 'watch_cut',
	connectionLost: 'connection_lost',
	versionConflict: 'version_conflict',
	historyGone: 'history_gone',
	replyTooLong: 'reply_too_long',
	recordMalformed: 'record_malformed',
	settingsInvalid: 'settings_invalid',
	queryInvalid: 'query_invalid',
	peerUnreachable: 'peer_unreachable',
	internal: 'internal',
} as const;

/** One of {@link ERROR_CODES}. */
export type ErrorCode = typeof ERROR_CODES[keyof typeof ERROR_CODES];

type ErrorDescription = {
	/** HTTP status code. */
	readonly status: number;
	readonly message: string;
};

/** HTTP status and message of each error code. */
export const ERROR_DESCRIPTIONS: Readonly<Record<ErrorCode, ErrorDescription>> = {
	key_missing: {status: 401, message: 'this route needs an API key in the Authorization header'},
	key_unknown: {status: 401, message: 'the API key is not known or was withdrawn'},
	key_in_body: {status: 400, message: 'the request carries its API key outside the Authorization header'},
	keys_stale: {status: 503, message: 'this entry cannot confirm that the API key is still valid'},
	body_too_large: {status: 413, message: 'the request body is over the limit of its route'},
	body_not_json: {status: 400, message: 'the request body is not the JSON object that the route takes'},
	header_invalid: {status: 400, message: 'the request framing or a header is not valid'},
	route_unknown: {status: 404, message: 'no service is offered at this path and method'},
	model_unknown: {status: 404, message: 'the model is not offered by this service'},
	not_ready: {status: 503, message: 'this entry has not read its configuration yet'},
	no_target: {status: 503, message: 'no target can take the request now'},
	queue_full: {status: 429, message: 'the queue for this service is full'},
	leaving: {status: 503, message: 'the instance is leaving and takes no new work'},
	overloaded: {status: 503, message: 'this entry has more work than it can begin in time'},
	deadline_exceeded: {status: 504, message: 'the deadline of the request passed'},
	deadline_hopeless: {status: 503, message: 'the request could not have met its deadline'},
	allotment_used: {status: 429, message: 'the customer has used its allotment over all entries'},
	rate_limited: {status: 429, message: 'the customer is over its rate'},
	quarantined: {status: 503, message: 'this request was running each time a target crashed and is not run again'},
	part_quarantined: {status: 503, message: 'each target that answered requests with a part of this prompt crashed, so no more of them are run'},
	stream_version_unknown: {status: 503, message: 'it is not known at which software version the stream began, so it cannot go on'},
	target_unreachable: {status: 502, message: 'the target could not be reached'},
	target_failed: {status: 502, message: 'the target failed while it ran the request'},
	stopped: {status: 502, message: 'the instance stopped before the request was answered'},
	request_abandoned: {status: 503, message: 'the caller ended its sending side before the request was passed on'},
	answer_abandoned: {status: 502, message: 'the caller ended its sending side before the request was answered'},
	answer_malformed: {status: 502, message: 'the answer of the target was malformed'},
	answer_crossed: {status: 502, message: 'the answer of the target belongs to another request'},
	duplicate_call: {status: 409, message: 'a call with this Idempotency-Key is under way or ended without a known answer'},
	store_unavailable: {status: 503, message: 'the object API of the platform does not answer'},
	watch_cut: {status: 503, message: 'the object API of the platform ended a watch that was waiting'},
	connection_lost: {status: 503, message: 'the object API of the platform ended a connection without a reply'},
	version_conflict: {status: 409, message: 'the object was changed by somebody else'},
	reply_too_long: {status: 503, message: 'a reply of the platform is longer than any of its kind'},
	history_gone: {status: 503, message: 'the changes after this version are no longer kept'},
	record_malformed: {status: 500, message: 'a record of the platform does not have the form that it should'},
	settings_invalid: {status: 400, message: 'the settings are not valid'},
	query_invalid: {status: 400, message: 'the query or command is not valid'},
	peer_unreachable: {status: 502, message: 'a process of the system did not answer'},
	internal: {status: 500, message: 'an internal error'},
};

/** An error that is returned as a value instead of being thrown. */
export type Failure = {
	readonly code: ErrorCode;
	/** Outcome that is reported to the caller if the failure ends a request. */
	readonly outcome: Outcome;
	readonly message: string;
	/** Milliseconds after which a retry may succeed. Absent if a retry does not help. */
	readonly retryAfterMs?: number;
};

/**
 * Creates a failure with the message of its error code.
 *
 * @param options - `outcome` defaults to refused-not-run; `detail` is appended to the message
 */
export function createFailure(
	code: ErrorCode,
	options: {outcome?: Outcome; detail?: string; retryAfterMs?: number} = {},
): Failure {
	const {outcome = OUTCOMES.refusedNotRun, detail, retryAfterMs} = options;
	const {message} = ERROR_DESCRIPTIONS[code];
	return {
		code,
		outcome,
		message: detail === undefined ? message : `${message}: ${detail}`,
		...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}
