import {findUsageWindow, type SendAttempt} from '@damaskspool/core';
import {type UsageCounts} from '@damaskspool/shared';
import {runUsageCall} from '../runUsageCall.js';
import {createUsageMeter, type UsageMeter} from '../createUsageMeter.js';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

/** Maximum time between checks for usage windows that are due to be sealed. */
const SEAL_CHECK_INTERVAL_MS = 1000;
/** Maximum time for which a stopping process tries to store its remaining usage. */
const MAX_FINAL_FLUSH_MS = 5000;
/** Time between flushes of a stopping process. */
const FINAL_FLUSH_INTERVAL_MS = 50;

/** Metering of one attempt. */
export type AttemptMetering = {
	readonly meter: UsageMeter;
	/** Value of the usage header, `ledger;sequence;window`. The sidecar meters the attempt under the same identity. */
	readonly header: string;
	/** Records the counts; called when the attempt ends, whether it succeeded or not. */
	readonly end: () => void;
};

/** Component of an entry that meters attempts, and seals and reports usage windows. */
export type UsageComponent = EntryComponent<'usage.call'> & {
	/** Starts to meter an attempt. `isResumed` says that the attempt resumes a stream. */
	readonly startMetering: (effect: SendAttempt, promptTokens: number, isResumed: boolean) => AttemptMetering;
};

/** Creates the component that meters attempts, and seals and reports usage windows. */
export function createUsageComponent(context: EntryContext): UsageComponent {
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
				}, Math.min(SEAL_CHECK_INTERVAL_MS, settings.usageWindow)),
			);
		},
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			const flushDeadlineAtMs = readClock() + MAX_FINAL_FLUSH_MS;
			while (readState().usage.attempts.size > 0 && readClock() < flushDeadlineAtMs) {
				dispatch({type: 'usage.flushDue', isStopping: true});
				await new Promise(resolve => {
					setTimeout(resolve, FINAL_FLUSH_INTERVAL_MS);
				});
			}
		},
	};
}
