/** An object with its version. */
export type StoredValue = {
	readonly key: string;
	/** Version of the last change, or of the removal in a list of changes; counted across all objects. */
	readonly version: number;
	readonly value: unknown;
};

/** In-memory object store with versions, conditional updates and watches. */
export type ObjectStore = {
	readonly read: (key: string) => StoredValue | undefined;
	readonly list: (prefix: string) => StoredValue[];
	/** Writes an object if its current version is the expected one, 0 for a new object. Returns the new version, or undefined on a conflict. */
	readonly write: (key: string, value: unknown, expectedVersion: number) => number | undefined;
	/** Removes an object if its current version is the expected one. Returns the version of the removal, or undefined on a conflict. */
	readonly remove: (key: string, expectedVersion: number) => number | undefined;
	/** Resolves with the changes under a prefix after a version; waits up to `waitMs` for one and then resolves with none. */
	readonly watch: (prefix: string, afterVersion: number, waitMs: number) => Promise<{version: number; changes: StoredValue[]}>;
	readonly countWatches: () => number;
};

type Waiter = {readonly prefix: string; readonly wake: () => void};

/**
 * Creates an empty store. One counter numbers the changes of all objects, so that
 * a watch can resume from a single version.
 */
export function createObjectStore(): ObjectStore {
	const objects = new Map<string, StoredValue>();
	const removed = new Map<string, StoredValue>();
	const waiters = new Set<Waiter>();
	let lastVersion = 0;

	const applyChange = (key: string, value: unknown, expectedVersion: number): number | undefined => {
		if ((objects.get(key)?.version ?? 0) !== expectedVersion) {
			return undefined;
		}

		lastVersion += 1;
		if (value === undefined) {
			objects.delete(key);
			removed.set(key, {key, version: lastVersion, value: null});
		} else {
			removed.delete(key);
			objects.set(key, {key, version: lastVersion, value});
		}

		for (const waiter of waiters) {
			if (key.startsWith(waiter.prefix)) {
				waiter.wake();
			}
		}

		return lastVersion;
	};

	const listChanges = (prefix: string, afterVersion: number) => [...objects.values(), ...[...removed.values()].map(object => ({...object, isRemoved: true}))]
		.filter(object => object.key.startsWith(prefix) && object.version > afterVersion)
		.toSorted((left, right) => left.version - right.version);

	return {
		read: key => objects.get(key),
		list: prefix => [...objects.values()].filter(object => object.key.startsWith(prefix)),
		write: (key, value, expectedVersion) => applyChange(key, value, expectedVersion),
		remove: (key, expectedVersion) => applyChange(key, undefined, expectedVersion),
		countWatches: () => waiters.size,
		async watch(prefix, afterVersion, waitMs) {
			if (listChanges(prefix, afterVersion).length === 0) {
				await new Promise<void>(resolve => {
					const timer = setTimeout(() => {
						waiter.wake();
					}, waitMs);
					const waiter: Waiter = {
						prefix,
						wake() {
							clearTimeout(timer);
							waiters.delete(waiter);
							resolve();
						},
					};
					waiters.add(waiter);
				});
			}

			return {version: lastVersion, changes: listChanges(prefix, afterVersion)};
		},
	};
}
