/**
 * Quarantines of prompt parts, as the store keeps them. Entries tell one another of quarantines, but that is lost when
 * all of them end together, and targets would crash anew before the parts were known again. The object holds the ages of
 * quarantines rather than times, so clocks of entries do not matter.
 */
import {type PartQuarantine} from './poisonPartTracker.js';

/** Content of the object in the store. Parts are named by their hashes. */
export type StoredParts = {readonly quarantines: readonly PartQuarantine[]};

/** What an entry knows of the object in the store. */
export type PartHistory = {
	/** Whether the deployment keeps the object. */
	readonly isKept: boolean;
	/** Version of the object; zero if there is none. */
	storeVersion: number;
	quarantines: readonly PartQuarantine[];
	/** Whether this process has taken over the quarantines that it found at its start. */
	isRestored: boolean;
	/** Whether the object was read in this era, and no write since then failed. */
	isRead: boolean;
	/** Time of the last read or write that succeeded. */
	knownAtMs: number;
	/** Version on whose condition a write without an answer was sent. It may take effect as long as the object has this version. */
	unansweredVersion: number | undefined;
	isCallInFlight: boolean;
	nextCallAtMs: number;
	/** Time since which the object differs from what this entry knows. */
	outdatedSinceMs: number | undefined;
};

/** How the object differs from what an entry knows. */
export const PART_CHANGES = {
	none: 'none',
	/** Its ages are old. */
	aged: 'aged',
	/** A quarantine began, was renewed, narrowed down or cleared, or need not be kept any longer. */
	changed: 'changed',
} as const;

/** See {@link PART_CHANGES}. */
export type PartChange = typeof PART_CHANGES[keyof typeof PART_CHANGES];

/** Maximum number of parts of a stored quarantine. One with more is not stored: fewer parts would refuse more requests. */
export const MAX_STORED_PARTS = 16;
/** Writes in which a quarantine ages until it ends. */
const AGE_STEPS = 8;

/** Creates the knowledge of an entry that has just started. */
export function createPartHistory(isKept: boolean): PartHistory {
	return {
		isKept,
		storeVersion: 0,
		quarantines: [],
		isRestored: false,
		isRead: false,
		knownAtMs: Number.NEGATIVE_INFINITY,
		unansweredVersion: undefined,
		isCallInFlight: false,
		nextCallAtMs: Number.NEGATIVE_INFINITY,
		outdatedSinceMs: undefined,
	};
}

/** Applies the object that the store returned or has taken. Changes `history`. */
export function applyStoredParts(history: PartHistory, {storeVersion, quarantines, nowMs}: {
	readonly storeVersion: number; readonly quarantines: readonly PartQuarantine[]; readonly nowMs: number;
}): void {
	history.isRead = true;
	history.knownAtMs = nowMs;
	history.storeVersion = storeVersion;
	history.quarantines = quarantines;
	if (storeVersion !== history.unansweredVersion) {
		history.unansweredVersion = undefined;
	}
}

/**
 * Returns the quarantines that an entry takes over at its start. Each may have aged by a step since it was written, and
 * counts as that old: a restart must not prolong it.
 */
export function toRestoredQuarantines(quarantines: readonly PartQuarantine[]): readonly PartQuarantine[] {
	return quarantines.map(([hashes, ageMs, durationMs]) => [hashes, ageMs + computeAgeStepMs(durationMs), durationMs]);
}

/** Compares the quarantines that are stored with those that an entry knows. */
export function compareQuarantines(stored: readonly PartQuarantine[], known: readonly PartQuarantine[]): PartChange {
	const storedByParts = new Map(stored.map(quarantine => [toKey(quarantine), quarantine]));
	const isSame = known.length === stored.length && known.every(quarantine => {
		const [, storedAgeMs, storedDurationMs] = storedByParts.get(toKey(quarantine)) ?? [];
		const [, ageMs, durationMs] = quarantine;
		// A quarantine of the longest duration is renewed with the same one.
		return storedAgeMs !== undefined && durationMs === storedDurationMs && ageMs > storedAgeMs - (durationMs / 2);
	});
	if (!isSame) {
		return PART_CHANGES.changed;
	}

	const isAged = known.some(quarantine => {
		const [, storedAgeMs, durationMs] = storedByParts.get(toKey(quarantine))!;
		return storedAgeMs < durationMs && quarantine[1] - storedAgeMs >= computeAgeStepMs(durationMs);
	});
	return isAged ? PART_CHANGES.aged : PART_CHANGES.none;
}

function computeAgeStepMs(durationMs: number): number {
	return durationMs / AGE_STEPS;
}

function toKey([hashes]: PartQuarantine): string {
	return hashes.toSorted().join(' ');
}
