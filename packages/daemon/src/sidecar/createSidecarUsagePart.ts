import {type IncomingHttpHeaders} from 'node:http';
import {isSidecarUsageStored, selectFigures, type Work} from '@damaskspool/core';
import {HEADERS, usageSettlementSchema} from '@damaskspool/shared';
import {runUsageCall, USAGE_SETTLE_METHOD} from '../runUsageCall.js';
import {createUsageMeter, type UsageMeter} from '../createUsageMeter.js';
import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/** Longest wait for the last write of a process that stops. */
const LAST_FLUSH_LIMIT_MS = 5000;
/** Time between writes of a process that stops. */
const LAST_FLUSH_INTERVAL_MS = 50;
/** Times that a sidecar looks for unsettled attempts while it waits for an entry. */
const FLUSHES_PER_WAIT = 5;

/** The metering of one piece of work. */
export type WorkMetering = {
	readonly meter: UsageMeter;
	readonly end: () => void;
};

/** The part of a sidecar that meters. */
export type SidecarUsagePart = SidecarPart<'usage.call'> & {
	/** Begins to meter work that is handed to the target. */
	readonly startMetering: (work: Work, headers: IncomingHttpHeaders) => WorkMetering;
};

/**
 * Creates the part of a sidecar that meters a second time.
 *
 * @param context - what the sidecar shares among its parts
 * @returns the part
 */
export function createSidecarUsagePart(context: SidecarContext): SidecarUsagePart {
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
			const stamp = parseUsageHeader(headers);
			if (stamp !== undefined) {
				dispatch({
					type: 'usage.started', ...stamp, customerId, serviceId: String(headers[HEADERS.serviceId] ?? ''),
				});
			}

			return {
				meter,
				end() {
					if (stamp !== undefined) {
						const counts = meter.readCounts(Math.round(readClock() - startedAtMs));
						dispatch({type: 'usage.ended', ...stamp, counts});
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
			}, settings.usageOrphanAfter / FLUSHES_PER_WAIT);
		},
		async stop() {
			clearInterval(timer);
			const endAtMs = readClock() + LAST_FLUSH_LIMIT_MS;
			while (!isSidecarUsageStored(readState().usage) && readClock() < endAtMs) {
				dispatch({type: 'usage.flushDue', isStopping: true});
				await new Promise(resolve => {
					setTimeout(resolve, LAST_FLUSH_INTERVAL_MS);
				});
			}
		},
	};
}

/** Reads `ledger;sequence;window`, as the entry wrote it. */
function parseUsageHeader(headers: IncomingHttpHeaders): {ledgerId: string; sequence: number; servedIn: number} | undefined {
	const match = /^(?<ledgerId>[^;]+);(?<sequence>\d+);(?<servedIn>\d+)$/v.exec(String(headers[HEADERS.usage] ?? ''));
	return match?.groups === undefined
		? undefined
		: {ledgerId: match.groups.ledgerId!, sequence: Number(match.groups.sequence), servedIn: Number(match.groups.servedIn)};
}
