import {findUsageWindow, type SendAttempt} from '@damaskspool/core';
import {type UsageCounts} from '@damaskspool/shared';
import {runUsageCall} from '../runUsageCall.js';
import {createUsageMeter, type UsageMeter} from '../createUsageMeter.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

/** Time between looks for windows to seal. */
const SEAL_INTERVAL_MS = 1000;
/** Longest wait for the last flush of a process that stops. */
const LAST_FLUSH_LIMIT_MS = 5000;
/** Time between flushes of a process that stops. */
const LAST_FLUSH_INTERVAL_MS = 50;

/** The metering of one attempt. */
export type AttemptMetering = {
	readonly meter: UsageMeter;
	/** Header by which the sidecar counts the attempt under the same number. */
	readonly header: string;
	/** The attempt ended, whole or not. */
	readonly end: () => void;
};

/** The part of an entry that meters, and seals and reports windows. */
export type UsagePart = EntryPart<'usage.call'> & {
	/** Begins to meter an attempt. */
	readonly startMetering: (effect: SendAttempt, promptTokens: number, isResumed: boolean) => AttemptMetering;
};

/**
 * Creates the part of an entry that meters, and seals and reports windows.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createUsagePart(context: EntryContext): UsagePart {
	const {settings, metrics, dispatch, readState, readClock} = context;
	let lastSequence = 0;
	const timers: NodeJS.Timeout[] = [];

	const countUsage = (counts: UsageCounts) => {
		metrics.count('metered_generated_tokens_total', counts.generatedTokens);
		metrics.count('metered_prompt_tokens_total', counts.promptTokens);
	};

	return {
		startMetering({customerId, serviceId, address}, promptTokens, isResumed) {
			lastSequence += 1;
			const sequence = lastSequence;
			const startedAtMs = readClock();
			const servedIn = findUsageWindow(Date.now(), settings.usageWindow);
			const kind = readState().configuration.services.get(serviceId)?.kind ?? 'model';
			const meter = createUsageMeter({kind, isResumed, promptTokens});
			dispatch({
				type: 'usage.started', sequence, customerId, serviceId, servedIn, address,
			});
			return {
				meter,
				header: [readState().usage.ledgerId, sequence, servedIn].join(';'),
				end() {
					const counts = meter.readCounts(Math.round(readClock() - startedAtMs));
					countUsage(counts);
					dispatch({type: 'usage.ended', sequence, counts});
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
		updateGauges() {
			metrics.setGauge('usage_unstored_attempts', readState().usage.attempts.size);
		},
		start() {
			timers.push(
				setInterval(() => {
					dispatch({type: 'usage.flushDue', isStopping: false});
				}, settings.usageFlushInterval),
				setInterval(() => {
					dispatch({type: 'usage.sealDue', wallMs: Date.now()});
				}, Math.min(SEAL_INTERVAL_MS, settings.usageWindow)),
			);
		},
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			const endAtMs = readClock() + LAST_FLUSH_LIMIT_MS;
			while (readState().usage.attempts.size > 0 && readClock() < endAtMs) {
				dispatch({type: 'usage.flushDue', isStopping: true});
				await new Promise(resolve => {
					setTimeout(resolve, LAST_FLUSH_INTERVAL_MS);
				});
			}
		},
	};
}
