import {type TargetRole} from '@damaskspool/shared';
import {type EngineSettings} from './engineOptions.js';

/** What the cost model reads of a sequence in the batch. */
export type BatchedSequence = {
	/** Prompt tokens that are still to be worked through. */
	remainingPrefillTokens: number;
};

/** One step of the batch. */
export type StepPlan<Sequence> = {
	/** Sequences that gain a token. */
	readonly decoding: readonly Sequence[];
	/** Prompt tokens worked through, by sequence. */
	readonly prefills: ReadonlyArray<{readonly sequence: Sequence; readonly tokens: number}>;
	readonly durationMs: number;
};

/** Part of a step's prompt tokens that each role takes. */
export const PREFILL_SHARES: Readonly<Record<TargetRole, number>> = {mixed: 0.5, prefill: 1, decode: 0.1};

/** Settings that the duration of a step depends on. */
export type StepSettings = Pick<EngineSettings, 'stepPrefillTokens' | 'stepMs' | 'stepPerSequenceMs' | 'prefillTokensPerMs'>;

/**
 * Plans one step: every sequence whose prompt is done gains a token, and the
 * oldest prompts share the tokens that the role gives to prefill.
 *
 * @param batch - sequences, oldest first
 * @param role - role of the engine
 * @param settings - speeds
 * @returns what the step does and how long it takes
 */
export function planStep<Sequence extends BatchedSequence>(
	batch: Iterable<Sequence>,
	role: TargetRole,
	settings: StepSettings,
): StepPlan<Sequence> {
	const decoding: Sequence[] = [];
	const prefills: Array<{sequence: Sequence; tokens: number}> = [];
	const prefillBudget = Math.floor(settings.stepPrefillTokens * PREFILL_SHARES[role]);
	let remainingBudget = prefillBudget;
	for (const sequence of batch) {
		if (sequence.remainingPrefillTokens <= 0) {
			decoding.push(sequence);
		} else if (remainingBudget > 0) {
			const tokens = Math.min(sequence.remainingPrefillTokens, remainingBudget);
			remainingBudget -= tokens;
			prefills.push({sequence, tokens});
		}
	}

	const durationMs = settings.stepMs
		+ (decoding.length * settings.stepPerSequenceMs)
		+ ((prefillBudget - remainingBudget) / settings.prefillTokensPerMs);
	return {decoding, prefills, durationMs};
}
