import {ERROR_CODES, type ErrorCode, OUTCOMES} from '@damaskspool/shared';
import {listSharedPartIds} from './crashHandlers.js';
import {type ServingEffect} from './servingMessages.js';
import {type ServingState} from './servingState.js';
import {type CallArrived} from './streamTakeUps.js';

/** Retry-after of a call that comes too late in a stop. Another entry can take it at once. */
export const LEAVING_RETRY_AFTER_MS = 10;
/** Retry-after in milliseconds by error code. That of a stream whose version is not known is the time for reports of peers to arrive. */
const RETRY_AFTER_MS: Partial<Record<ErrorCode, number>> = {
	[ERROR_CODES.streamVersionUnknown]: 300,
	[ERROR_CODES.leaving]: LEAVING_RETRY_AFTER_MS,
};

/** Creates the effects that refuse a call that has just arrived, for which nothing was sent. */
export function refuseArrival({configuration}: ServingState, {callId, request}: CallArrived, code: ErrorCode): readonly ServingEffect[] {
	return [{
		type: 'call.refuse', callId, code, outcome: OUTCOMES.refusedNotRun, retryAfterMs: RETRY_AFTER_MS[code],
	}, {
		type: 'decision.record', name: 'call.rejected', subject: request.requestId, detail: {
			code, version: configuration?.version, resumes: request.resumes, ...(code === ERROR_CODES.partQuarantined && {parts: listSharedPartIds(request)}),
		},
	}];
}
