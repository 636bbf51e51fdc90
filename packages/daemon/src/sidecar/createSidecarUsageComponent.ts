import {type IncomingHttpHeaders} from 'node:http';
import {isSidecarUsageStored, selectFigures, type Work} from '@damaskspool/core';
import {HEADERS, usageSettlementSchema} from '@damaskspool/shared';
import {runUsageCall, USAGE_SETTLE_METHOD} from '../runUsageCall.js';
import {createUsageMeter, type UsageMeter} from '../createUsageMeter.js';
import {type SidecarContext, type SidecarComponent} from './sidecarComponent.js';

/** Maximum time for which a stopping process tries to store its remaining usage. */
const MAX_FINAL_FLUSH_MS = 5000;
/** Time between flushes of a stopping process. */
const FINAL_FLUSH_INTERVAL_MS = 50;
/** Checks for unsettled attempts within the time (`usageOrphanAfter`) that a sidecar waits for an entry to settle them. */
const FLUSHES_PER_ORPHAN_PERIOD = 5;

/** Metering of one attempt's work on the target. */
export type WorkMetering = {
	readonly meter: UsageMeter;
	readonly end: () => void;
};

/** Component of a sidecar that meters work. */
export type SidecarUsageComponent = SidecarComponent<'usage.call'> & {
	/** Starts to meter work that is sent to the target. */
	readonly startMetering: (work: Work, headers: IncomingHttpHeaders) => WorkMetering;
};

/**
 * Creates the component that meters each attempt independently of the entry. It returns its figures to an entry that
 * settles attempts, and stores the attempts that no entry settles in time.
 */
export function createSidecarUsageComponent(context: SidecarContext): SidecarUsageComponent {
	const {settings, metrics, dispatch, readState, readClock} = context;
	let timer: NodeJS.Timeout | undefined;

	return {
		startMetering({customerId, promptTokens}, headers) {
			const startedAtMs = readClock();
			const meter = createUsageMeter({
				kind: settings.targetKind === 'engine' ? 'model' : 'plain',
				isResumed: headers[HEADERS.lastEventId] !== undefined,
				promptTokens,
			});
			const attemptIdentity = parseUsageHeader(headers);
			if (attemptIdentity !== undefined) {
				dispatch({
					type: 'usage.started', ...attemptIdentity, customerId, serviceId: String(headers[HEADERS.serviceId] ?? ''),
				});
			}

			return {
				meter,
				end() {
					if (attemptIdentity !== undefined) {
						const counts = meter.readCounts(Math.round(readClock() - startedAtMs));
						dispatch({type: 'usage.ended', ...attemptIdentity, counts});
					}
				},
			};
		},
		effectHandlers: {
			'usage.call'({callId, call}) {
				void (async () => {
					dispatch({type: 'usage.replied', callId, reply: await runUsageCall(call, context)});
				})();
			},
		},
		rpcMethods: {
			[USAGE_SETTLE_METHOD](parameters) {
				const settlement = usageSettlementSchema.parse(parameters);
				dispatch({type: 'usage.settled', settlement});
				return selectFigures(readState().usage, settlement);
			},
		},
		updateGauges() {
			metrics.setGauge('usage_unsettled_attempts', readState().usage.attempts.size);
		},
		start() {
			timer = setInterval(() => {
				dispatch({type: 'usage.flushDue', isStopping: false});
			}, settings.usageOrphanAfter / FLUSHES_PER_ORPHAN_PERIOD);
		},
		async stop() {
			clearInterval(timer);
			const flushDeadlineAtMs = readClock() + MAX_FINAL_FLUSH_MS;
			while (!isSidecarUsageStored(readState().usage) && readClock() < flushDeadlineAtMs) {
				dispatch({type: 'usage.flushDue', isStopping: true});
				await new Promise(resolve => {
					setTimeout(resolve, FINAL_FLUSH_INTERVAL_MS);
				});
			}
		},
	};
}

/** Parses the usage header, `ledger;sequence;window`, as written by the entry. */
function parseUsageHeader(headers: IncomingHttpHeaders): {ledgerId: string; sequence: number; servedIn: number} | undefined {
	const match = /^(?<ledgerId>[^;]+);(?<sequence>\d+);(?<servedIn>\d+)$/v.exec(String(headers[HEADERS.usage] ?? ''));
	return match?.groups === undefined
		? undefined
		: {ledgerId: match.groups.ledgerId!, sequence: Number(match.groups.sequence), servedIn: Number(match.groups.servedIn)};
}
