/**
 * Order of the changes of a store that may come back from an older copy. Its revisions then go back and are given out
 * again, and its era rises. A version orders changes by era first and by revision second, so versions are compared as
 * plain numbers and never go back. Version 0 stands for an object that does not exist.
 */

/** Era and revision of a change. */
export type EraRevision = {readonly era: number; readonly revision: number};

/** Revisions of one era: more than a store reaches in its life. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Eras whose versions are safe integers. */
const MAX_ERA = (2 ** 13) - 1;

/** Returns the version of a change, or undefined if era or revision are out of range. */
export function toStoreVersion({era, revision}: EraRevision): number | undefined {
	const isValid = isStoreEra(era) && Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA;
	return isValid ? (era * REVISIONS_PER_ERA) + revision : undefined;
}

/** Returns the era and the revision of a version. */
export function toEraRevision(version: number): EraRevision {
	const era = Math.floor(version / REVISIONS_PER_ERA);
	return {era, revision: version - (era * REVISIONS_PER_ERA)};
}

/** Returns whether a number can be the era of a store. A store that states no era is in era 0. */
export function isStoreEra(era: number): boolean {
	return Number.isInteger(era) && era >= 0 && era <= MAX_ERA;
}
