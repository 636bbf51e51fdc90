import {type DeploymentPorts} from '@damaskspool/runtime';
import {createFailure, ERROR_CODES, OUTCOMES} from '@damaskspool/shared';
import {type CallHandle} from './callHandle.js';
import {writeRefusal} from './writeRefusal.js';

/**
 * Forwards the buffered failure response of a target unchanged. A response that is
 * not signed, or whose status would promise that the request did not run, is
 * replaced by an error response of the entry.
 */
export function writeBufferedResponse({response, bufferedResponse}: CallHandle, ports: DeploymentPorts): void {
	if (bufferedResponse?.isSigned !== true || response.headersSent) {
		writeRefusal({response, ports, failure: createFailure(ERROR_CODES.targetFailed, {outcome: OUTCOMES.refusedUnknown})});
		return;
	}

	const {status, headers, body} = bufferedResponse;
	response.writeHead(status, [...headers, 'content-length', String(body.length)]);
	response.end(body);
}
