/** Lists the names that another one before them equals, with the index of the first. */
export function indexRepeats(names: readonly string[]): ReadonlyArray<{readonly index: number; readonly firstIndex: number}> {
	const firstIndexes = new Map<string, number>();
	const repeats: Array<{readonly index: number; readonly firstIndex: number}> = [];
	for (const [index, name] of names.entries()) {
		const firstIndex = firstIndexes.get(name);
		if (firstIndex === undefined) {
			firstIndexes.set(name, index);
		} else {
			repeats.push({index, firstIndex});
		}
	}

	return repeats;
}
