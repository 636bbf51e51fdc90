import {type ServerResponse} from 'node:http';
import {type DeploymentPorts} from '@damaskspool/runtime';
import {ERROR_DESCRIPTIONS, type Failure} from '@damaskspool/shared';

/** Options of {@link writeRefusal}. */
export type RefusalOptions = {
	readonly response: ServerResponse;
	readonly ports: Pick<DeploymentPorts, 'formatRefusalHeaders'>;
	readonly failure: Failure;
};

/**
 * Ends a call with an error response of the entry. If part of a response was already
 * forwarded, the connection is destroyed, so that the caller does not treat that
 * part as a complete response.
 */
export function writeRefusal({response, ports, failure}: RefusalOptions): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const body = JSON.stringify({error: {code: failure.code, outcome: failure.outcome, message: failure.message}});
	response.writeHead(ERROR_DESCRIPTIONS[failure.code].status, {
		'content-type': 'application/json',
		'content-length': body.length,
		...ports.formatRefusalHeaders(failure.retryAfterMs),
	});
	response.end(body);
}
