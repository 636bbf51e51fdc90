/** Finds the item with the lowest value, the first one if several have it; undefined if no value is below infinity. */
export function findLowest<Item>(items: Iterable<Item>, computeValue: (item: Item) => number): Item | undefined {
	let best: Item | undefined;
	let bestValue = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const value = computeValue(item);
		if (value < bestValue) {
			best = item;
			bestValue = value;
		}
	}

	return best;
}
