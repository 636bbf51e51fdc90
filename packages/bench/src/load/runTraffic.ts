import {Agent} from 'undici';
import {type PlannedRequest} from './createTraffic.js';
import {type RequestResult, sendPlannedRequest} from './sendPlannedRequest.js';

/** Options of {@link runTraffic}. */
export type RunTrafficOptions = {
	readonly planned: readonly PlannedRequest[];
	/** Addresses of the entries, used round-robin as by a load balancer. */
	readonly addresses: readonly string[];
	/** API keys by customer. */
	readonly keys: ReadonlyMap<string, string>;
	readonly onResult?: (result: RequestResult) => void;
	/** Stops sending; requests already sent are still awaited. */
	readonly signal?: AbortSignal;
};

/**
 * Sends planned requests at their times and waits for every result.
 *
 * @returns the results, in order of sending
 */
export async function runTraffic(options: RunTrafficOptions): Promise<RequestResult[]> {
	const {planned, addresses, keys, onResult, signal} = options;
	const dispatcher = new Agent({connections: 256, headersTimeout: 120_000, bodyTimeout: 120_000});
	const startedAt = performance.now();
	const results: Array<Promise<RequestResult>> = [];
	for (const [index, request] of planned.entries()) {
		const waitMs = request.atMs - (performance.now() - startedAt);
		if (waitMs > 1) {
			await new Promise(resolve => {
				setTimeout(resolve, waitMs);
			});
		}

		if (signal?.aborted) {
			break;
		}

		results.push((async () => {
			const result = await sendPlannedRequest({
				request,
				address: addresses[index % addresses.length]!,
				key: keys.get(request.customerId),
				dispatcher,
			});
			onResult?.(result);
			return result;
		})());
	}

	const settled = await Promise.all(results);
	await dispatcher.destroy();
	return settled;
}
