/** A record of the version in force and one of a draft that have the same name. One of them may be missing. */
export type RecordPair<T> = {readonly before: T | undefined; readonly after: T | undefined};

/** Joins records by name, those of the draft first, then those that only the version in force has. Of equal names, the n-th is joined with the n-th. */
export function joinByName<T>(before: readonly T[], after: readonly T[], getName: (record: T) => string): ReadonlyArray<RecordPair<T>> {
	const waiting = new Map<string, T[]>();
	for (const record of before.toReversed()) {
		const group = waiting.get(getName(record)) ?? [];
		group.push(record);
		waiting.set(getName(record), group);
	}

	const pairs = after.map((record): RecordPair<T> => ({before: waiting.get(getName(record))?.pop(), after: record}));
	return [...pairs, ...[...waiting.values()].flatMap(group => group.toReversed().map((record): RecordPair<T> => ({before: record, after: undefined})))];
}
