import {type SidecarEvent, type SidecarState} from '@damaskspool/core';
import {type Loop} from '@damaskspool/runtime';
import {type Dispatcher} from 'undici';
import {z} from 'zod';

/** Longest wait for a target's report. */
const REPORT_TIMEOUT_MS = 1000;

const targetReportSchema = z.object({
	role: z.enum(['mixed', 'prefill', 'decode']),
	models: z.array(z.string()),
	isReady: z.boolean(),
});

/** Options of {@link startTargetReports}. */
export type TargetReportsOptions = {
	readonly loop: Loop<SidecarState, SidecarEvent>;
	readonly dispatcher: Dispatcher;
	readonly address: string;
	readonly intervalMs: number;
};

/**
 * Starts reading the target's own report at an interval.
 *
 * @param options - target and whom to tell
 * @returns a function that ends the reading
 */
export function startTargetReports({loop, dispatcher, address, intervalMs}: TargetReportsOptions): () => void {
	const readReport = async () => {
		try {
			const response = await dispatcher.request({
				origin: `http://${address}`, path: '/report', method: 'GET', signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
			});
			const report = targetReportSchema.parse(await response.body.json());
			loop.dispatch({type: 'target.reported', ...report});
		} catch {
			loop.dispatch({type: 'target.silent'});
		}
	};

	let isEnded = false;
	let timer: NodeJS.Timeout | undefined;
	const repeat = async () => {
		await readReport();
		if (!isEnded) {
			timer = setTimeout(() => {
				void repeat();
			}, intervalMs);
		}
	};

	void repeat();
	return () => {
		isEnded = true;
		clearTimeout(timer);
	};
}
