import {type TargetRole, TOKENS_PER_KV_BLOCK} from '@damaskspool/shared';
import {type CacheEvent, createPrefixCache, type PrefixCache} from './createPrefixCache.js';
import {planStep} from './engineCostModel.js';
import {type EngineSettings} from './engineOptions.js';
import {type EngineSequence, writeToken} from './engineSequence.js';

/** Token and cancellation counts of a batch. */
export type BatchCounts = {
	prefilledTokens: number;
	/** Prompt tokens found in the prefix cache. */
	cachedTokens: number;
	generatedTokens: number;
	cancelled: number;
};

/** The continuous batch of an engine: its waiting and running sequences. */
export type Batch = {
	readonly cache: PrefixCache;
	readonly counts: Readonly<BatchCounts>;
	readonly add: (sequence: EngineSequence) => void;
	/** Removes a sequence whose caller disconnected. */
	readonly cancel: (sequence: EngineSequence) => void;
	readonly readRole: () => TargetRole;
	readonly isChangingRole: () => boolean;
	/** Pauses the engine while its role changes; running sequences make no progress and the prefix cache is cleared. */
	readonly changeRole: (role: TargetRole) => Promise<void>;
	readonly countRunning: () => number;
	readonly countWaiting: () => number;
	readonly close: () => void;
};

/**
 * Creates the batch of an engine and runs its steps in real time.
 *
 * @param onCacheEvent - called on each change of the prefix cache
 */
export function createBatch(settings: EngineSettings, onCacheEvent: (kind: CacheEvent['kind'], hash: string) => void): Batch {
	const waiting: EngineSequence[] = [];
	const running = new Set<EngineSequence>();
	const cache = createPrefixCache({blockCount: settings.pieces, onEvent: onCacheEvent});
	const counts: BatchCounts = {
		prefilledTokens: 0, cachedTokens: 0, generatedTokens: 0, cancelled: 0,
	};
	let {role} = settings;
	let isStepping = false;
	let pendingRoleChanges = 0;
	let timer: NodeJS.Timeout | undefined;

	const endSequence = (sequence: EngineSequence) => {
		if (running.delete(sequence)) {
			cache.release(sequence.hashes, sequence.privateBlocks);
		}
	};

	const admitWaiting = () => {
		while (running.size < settings.batchLimit && waiting.length > 0) {
			const next = waiting.find(sequence => !sequence.isBatchPriority) ?? waiting[0]!;
			const computedTokens = cache.countComputedBlocks(next.hashes) * TOKENS_PER_KV_BLOCK;
			if (!cache.acquire(next.hashes, next.privateBlocks)) {
				return;
			}

			waiting.splice(waiting.indexOf(next), 1);
			// The last prompt token is always prefilled, because the first generated token is computed from it.
			const cachedTokens = Math.min(computedTokens, next.promptTokens - 1);
			next.remainingPrefillTokens = next.promptTokens - cachedTokens;
			next.cachedTokens = cachedTokens;
			counts.cachedTokens += cachedTokens;
			running.add(next);
		}
	};

	const startStep = () => {
		if (isStepping || pendingRoleChanges > 0) {
			return;
		}

		admitWaiting();
		if (running.size === 0) {
			return;
		}

		isStepping = true;
		const plan = planStep(running, role, settings);
		timer = setTimeout(() => {
			isStepping = false;
			for (const {sequence, tokens} of plan.prefills) {
				if (!running.has(sequence)) {
					continue;
				}

				sequence.remainingPrefillTokens -= tokens;
				counts.prefilledTokens += tokens;
				if (sequence.remainingPrefillTokens <= 0) {
					cache.setComputed(sequence.hashes);
				}
			}

			for (const sequence of plan.decoding) {
				if (running.has(sequence)) {
					counts.generatedTokens += 1;
					if (!writeToken(sequence)) {
						endSequence(sequence);
					}
				}
			}

			startStep();
		}, plan.durationMs);
	};

	return {
		cache,
		counts,
		add(sequence) {
			waiting.push(sequence);
			startStep();
		},
		cancel(sequence) {
			counts.cancelled += 1;
			endSequence(sequence);
			const index = waiting.indexOf(sequence);
			if (index !== -1) {
				waiting.splice(index, 1);
			}
		},
		readRole: () => role,
		isChangingRole: () => pendingRoleChanges > 0,
		async changeRole(next) {
			if (next === role) {
				return;
			}

			pendingRoleChanges += 1;
			await new Promise(resolve => {
				setTimeout(resolve, settings.roleChangeMs).unref();
			});
			pendingRoleChanges -= 1;
			role = next;
			cache.clear();
			startStep();
		},
		countRunning: () => running.size,
		countWaiting: () => waiting.length,
		close() {
			clearTimeout(timer);
		},
	};
}
