import {type DeploymentPorts} from '@damaskspool/runtime';
import {createFailure, ERROR_CODES, OUTCOMES} from '@damaskspool/shared';
import {type CallHandle} from './callHandle.js';
import {writeRefusal} from './writeRefusal.js';

/**
 * Passes a failure of a target on as it came. One that is not signed, or whose
 * status would promise that nothing ran, is replaced by a failure of the entry's own.
 *
 * @param handle - the call, with the answer that it holds
 * @param ports - the adapter
 */
export function writeBufferedResponse({response, bufferedResponse: bufferedResponse}: CallHandle, ports: DeploymentPorts): void {
	if (bufferedResponse?.isSigned !== true || response.headersSent) {
		writeRefusal({response, ports, failure: createFailure(ERROR_CODES.targetFailed, {outcome: OUTCOMES.refusedUnknown})});
		return;
	}

	const {status, headers, body} = bufferedResponse;
	response.writeHead(status, [...headers, 'content-length', String(body.length)]);
	response.end(body);
}
