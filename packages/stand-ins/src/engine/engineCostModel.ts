import {type TargetRole} from '@damaskspool/shared';
import {type EngineSettings} from './engineOptions.js';

/** The fields of a sequence in the batch that the cost model needs. */
export type BatchedSequence = {
	remainingPrefillTokens: number;
};

/** Plan of one step of the batch. */
export type StepPlan<Sequence> = {
	/** Sequences that generate one token. */
	readonly decoding: readonly Sequence[];
	/** Prompt tokens to prefill, by sequence. */
	readonly prefills: ReadonlyArray<{readonly sequence: Sequence; readonly tokens: number}>;
	readonly durationMs: number;
};

/** Share of `stepPrefillTokens` that one step may prefill, by role. */
export const PREFILL_SHARES: Readonly<Record<TargetRole, number>> = {mixed: 0.5, prefill: 1, decode: 0.1};

/** Settings that determine the prefill budget and the duration of a step. */
export type StepSettings = Pick<EngineSettings, 'stepPrefillTokens' | 'stepMs' | 'stepPerSequenceMs' | 'prefillTokensPerMs'>;

/**
 * Plans one step: every sequence whose prefill is complete generates one token,
 * and the oldest other sequences share the prefill budget of the role.
 *
 * @param batch - sequences, oldest first
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
