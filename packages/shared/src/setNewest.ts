/**
 * Sets a key of a map as its newest entry, and drops the oldest one if the map then exceeds the maximum size. The map
 * changes in place.
 */
export function setNewest<Key, Value>(map: Map<Key, Value>, {key, value, maxSize}: {readonly key: Key; readonly value: Value; readonly maxSize: number}): void {
	map.delete(key);
	map.set(key, value);
	const [oldest] = map.keys();
	if (map.size > maxSize && oldest !== undefined) {
		map.delete(oldest);
	}
}
