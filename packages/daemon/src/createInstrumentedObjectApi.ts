import {createObjectApiClient, type Metrics, type ObjectApiClient} from '@damaskspool/runtime';

/**
 * Creates an object API client that counts its calls and transferred bytes in the metrics.
 *
 * @param address - `ip:port` of the platform
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
