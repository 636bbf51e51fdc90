import {toLoadReport} from '@damaskspool/core';
import {type CacheEvent, cacheEventSchema, createListSchema} from '@damaskspool/shared';
import {z} from 'zod';
import {type SidecarContext, type SidecarComponent} from './sidecarComponent.js';

const REPORT_TIMEOUT_MS = 1000;
/**
 * Cache events that are retained, because entries read them less often than the sidecar does. The limit is sufficient:
 * between two reads by an entry, no more than the content of one KV cache changes.
 */
const MAX_CACHE_EVENTS = 512;

const targetReportSchema = z.object({
	role: z.enum(['mixed', 'prefill', 'decode']),
	models: createListSchema(z.string()),
	isReady: z.boolean(),
	/** Omitted by targets without a prefix cache. */
	cacheEvents: createListSchema(cacheEventSchema).default([]),
});

/** `afterSequence` is the sequence number of the last cache event that the requesting entry has. */
const loadParametersSchema = z.object({afterSequence: z.number().optional()});

/** Creates the component that polls the target's reports and serves load reports to entries. */
export function createReportComponent(context: SidecarContext): SidecarComponent {
	const {settings, targetDispatcher, dispatch, readState, readClock} = context;
	let cacheEvents: CacheEvent[] = [];

	const readReport = async () => {
		try {
			const response = await targetDispatcher.request({
				origin: `http://${settings.target}`, path: `/report?after=${cacheEvents.at(-1)?.sequence ?? 0}`, method: 'GET', signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
			});
			const {cacheEvents: newEvents, ...report} = targetReportSchema.parse(await response.body.json());
			cacheEvents = [...cacheEvents, ...newEvents].slice(-MAX_CACHE_EVENTS);
			dispatch({type: 'target.reported', ...report});
		} catch {
			dispatch({type: 'target.silent'});
		}
	};

	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	const readReportsRepeatedly = async () => {
		await readReport();
		if (!isStopped) {
			timer = setTimeout(() => {
				void readReportsRepeatedly();
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
			void readReportsRepeatedly();
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
