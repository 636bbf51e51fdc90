/** Which targets keep which shared parts of prompts, as far as this entry and its peers have seen. */
export type PrefixLocations = {
	/** Records that a target has read or fetched a part, or was just asked to. */
	readonly recordUse: (partId: string, targetId: string, tokens: number) => void;
	/** Tells whether a target is believed to keep a part. */
	readonly has: (partId: string, targetId: string) => boolean;
	/** Lists the targets that are believed to keep a part. */
	readonly list: (partId: string) => readonly string[];
	/** Forgets a part that a target turned out not to keep. */
	readonly remove: (partId: string, targetId: string) => void;
	/** Forgets everything about a target: it left or started anew. */
	readonly removeTarget: (targetId: string) => void;
	/** Sets how many tokens of shared parts a target is believed to keep. */
	readonly setMaxTokens: (maxTokens: number) => void;
};

/** Shared tokens that a target keeps where the configuration gives no memory size. */
const DEFAULT_MAX_CACHED_TOKENS = 400_000;

/**
 * Creates an empty index. Each target's parts are held least recently used
 * first and dropped past its limit, as the target itself does.
 *
 * @returns the index
 */
export function createPrefixLocations(): PrefixLocations {
	const partsByTarget = new Map<string, {parts: Map<string, number>; tokens: number}>();
	const targetsByPart = new Map<string, Set<string>>();
	let maxTokens = DEFAULT_MAX_CACHED_TOKENS;

	const remove = (partId: string, targetId: string) => {
		const cached = partsByTarget.get(targetId);
		const tokens = cached?.parts.get(partId);
		if (cached === undefined || tokens === undefined) {
			return;
		}

		cached.parts.delete(partId);
		cached.tokens -= tokens;
		const targets = targetsByPart.get(partId);
		targets?.delete(targetId);
		if (targets?.size === 0) {
			targetsByPart.delete(partId);
		}
	};

	return {
		recordUse(partId, targetId, tokens) {
			remove(partId, targetId);
			const cached = partsByTarget.get(targetId) ?? {parts: new Map<string, number>(), tokens: 0};
			partsByTarget.set(targetId, cached);
			cached.parts.set(partId, tokens);
			cached.tokens += tokens;
			const targets = targetsByPart.get(partId) ?? new Set<string>();
			targetsByPart.set(partId, targets);
			targets.add(targetId);
			for (const oldest of cached.parts.keys()) {
				if (cached.tokens <= maxTokens) {
					break;
				}

				remove(oldest, targetId);
			}
		},
		has: (partId, targetId) => partsByTarget.get(targetId)?.parts.has(partId) ?? false,
		list: partId => [...targetsByPart.get(partId) ?? []],
		remove,
		removeTarget(targetId) {
			for (const partId of partsByTarget.get(targetId)?.parts.keys() ?? []) {
				remove(partId, targetId);
			}

			partsByTarget.delete(targetId);
		},
		setMaxTokens(limitTokens) {
			maxTokens = limitTokens;
		},
	};
}
