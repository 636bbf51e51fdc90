import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Metrics} from '@damaskspool/runtime';

/** Options of {@link createOperationsHandler}. */
export type OperationsOptions = {
	readonly metrics: Metrics;
	/** Whether the process accepts work. */
	readonly isReady: () => boolean;
	/** Updates gauges; called before metrics are written. */
	readonly updateGauges: () => void;
};

/** Handles a request for an operations path. Returns false, and does nothing, for any other request. */
export type OperationsHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

/** Creates the handler of `/healthz`, `/readyz` and `/metrics`. */
export function createOperationsHandler(options: OperationsOptions): OperationsHandler {
	const answer = (response: ServerResponse, status: number, text: string) => {
		response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'}).end(text);
	};

	const handlersByPath: Readonly<Record<string, (response: ServerResponse) => void>> = {
		'/healthz'(response) {
			answer(response, 200, 'ok\n');
		},
		'/readyz'(response) {
			const isReady = options.isReady();
			answer(response, isReady ? 200 : 503, isReady ? 'ready\n' : 'not ready\n');
		},
		'/metrics'(response) {
			options.updateGauges();
			answer(response, 200, options.metrics.formatText());
		},
	};

	return (request, response) => {
		const handle = handlersByPath[request.url ?? ''];
		if (handle === undefined || request.method !== 'GET') {
			return false;
		}

		handle(response);
		return true;
	};
}
