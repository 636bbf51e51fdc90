import {z} from 'zod';
import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/** Longest wait for a target's report. */
const REPORT_TIMEOUT_MS = 1000;

const targetReportSchema = z.object({
	role: z.enum(['mixed', 'prefill', 'decode']),
	models: z.array(z.string()),
	isReady: z.boolean(),
});

/**
 * Creates the part of a sidecar that reads the target's own report at an interval.
 *
 * @param context - what the sidecar shares among its parts
 * @returns the part
 */
export function createReportPart(context: SidecarContext): SidecarPart {
	const {settings, targetDispatcher, dispatch} = context;

	const readReport = async () => {
		try {
			const response = await targetDispatcher.request({
				origin: `http://${settings.target}`, path: '/report', method: 'GET', signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
			});
			const report = targetReportSchema.parse(await response.body.json());
			dispatch({type: 'target.reported', ...report});
		} catch {
			dispatch({type: 'target.silent'});
		}
	};

	let isEnded = false;
	let timer: NodeJS.Timeout | undefined;
	const repeat = async () => {
		await readReport();
		if (!isEnded) {
			timer = setTimeout(() => {
				void repeat();
			}, settings.reportInterval);
		}
	};

	return {
		effectHandlers: {},
		start() {
			void repeat();
		},
		stop() {
			isEnded = true;
			clearTimeout(timer);
		},
	};
}
