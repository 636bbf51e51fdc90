import {ERROR_CODES, type ErrorCode, OUTCOMES} from '@damaskspool/shared';
import {listSharedPartIds} from './crashHandlers.js';
import {type ServingEffect} from './servingMessages.js';
import {type ServingState} from './servingState.js';
import {type CallArrived} from './streamTakeUps.js';

/** Retry-after of a stream whose version is not known: the time for reports of peers to arrive. */
const STREAM_RETRY_AFTER_MS = 300;

/** Creates the effects that refuse a call that has just arrived, for which nothing was sent. */
export function refuseArrival({configuration}: ServingState, {callId, request}: CallArrived, code: ErrorCode): readonly ServingEffect[] {
	return [{
		type: 'call.refuse', callId, code, outcome: OUTCOMES.refusedNotRun, retryAfterMs: code === ERROR_CODES.streamVersionUnknown ? STREAM_RETRY_AFTER_MS : undefined,
	}, {
		type: 'decision.record', name: 'call.rejected', subject: request.requestId, detail: {
			code, version: configuration?.version, resumes: request.resumes, ...(code === ERROR_CODES.partQuarantined && {parts: listSharedPartIds(request)}),
		},
	}];
}
