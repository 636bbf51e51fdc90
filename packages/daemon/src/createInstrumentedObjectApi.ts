import {createObjectApiClient, type Metrics, type ObjectApiClient} from '@damaskspool/runtime';

/**
 * Creates a client of the object API whose calls and bytes are counted in the metrics of a process.
 *
 * @param address - `ip:port` of the platform
 * @param metrics - metrics of the process
 * @returns the client
 */
export function createInstrumentedObjectApi(address: string, metrics: Metrics): ObjectApiClient {
	return createObjectApiClient({
		address,
		onCall(kind, bytes) {
			metrics.count(`store_calls_total{kind="${kind}"}`);
			metrics.count('control_bytes_total', bytes);
		},
	});
}
