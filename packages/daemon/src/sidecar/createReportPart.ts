import {toLoadReport} from '@damaskspool/core';
import {type CacheEvent, cacheEventSchema} from '@damaskspool/shared';
import {z} from 'zod';
import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/** Longest wait for a target's report. */
const REPORT_TIMEOUT_MS = 1000;
/** Cache events kept for entries that read less often; more than a memory's worth changes between two reads of none. */
const CACHE_EVENTS_KEPT = 512;

const targetReportSchema = z.object({
	role: z.enum(['mixed', 'prefill', 'decode']),
	models: z.array(z.string()),
	isReady: z.boolean(),
	/** Left out by targets that cache nothing. */
	cacheEvents: z.array(cacheEventSchema).default([]),
});

/** Entries name the last cache event that they have. */
const loadParametersSchema = z.object({afterSequence: z.number().optional()});

/**
 * Creates the part of a sidecar that reads the target's own report at an interval.
 *
 * @param context - what the sidecar shares among its parts
 * @returns the part
 */
export function createReportPart(context: SidecarContext): SidecarPart {
	const {settings, targetDispatcher, dispatch, readState, readClock} = context;
	let cacheEvents: CacheEvent[] = [];

	const readReport = async () => {
		try {
			const response = await targetDispatcher.request({
				origin: `http://${settings.target}`, path: `/report?after=${cacheEvents.at(-1)?.sequence ?? 0}`, method: 'GET', signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
			});
			const {cacheEvents: newEvents, ...report} = targetReportSchema.parse(await response.body.json());
			cacheEvents = [...cacheEvents, ...newEvents].slice(-CACHE_EVENTS_KEPT);
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
		rpcMethods: {
			'load.get'(parameters) {
				const {afterSequence = 0} = loadParametersSchema.parse(parameters);
				return {
					...toLoadReport(readState().admission, readClock()),
					cacheEvents: cacheEvents.filter(event => event.sequence > afterSequence),
				};
			},
		},
		start() {
			void repeat();
		},
		stop() {
			isEnded = true;
			clearTimeout(timer);
		},
	};
}
