/** Index of the targets that have shared prompt parts cached, as far as this entry and its peers know. */
export type PrefixLocations = {
	/** Records that a target has prefilled or fetched a part, or was requested to do so. */
	readonly recordUse: (partId: string, targetId: string, tokens: number) => void;
	/** Returns whether a target probably has a part cached. */
	readonly has: (partId: string, targetId: string) => boolean;
	/** Lists the targets that probably have a part cached. */
	readonly list: (partId: string) => readonly string[];
	/** Removes a part that a target does not have cached. */
	readonly remove: (partId: string, targetId: string) => void;
	/** Removes all parts of a target that was removed or restarted. */
	readonly removeTarget: (targetId: string) => void;
	/** Sets the number of tokens of shared parts that a target is assumed to cache. */
	readonly setMaxTokens: (maxTokens: number) => void;
};

/** Limit that applies if the configuration gives no KV cache capacity. */
const DEFAULT_MAX_CACHED_TOKENS = 400_000;

/**
 * Creates an empty index. Beyond the limit of a target, its least recently used
 * parts are removed, as the target itself evicts them.
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
