/**
 * Catalog of the targets that are available for use. It is built from complete
 * lists of registrations and from incremental changes. A registration that
 * disappears while the store is failing may have expired only because the target
 * could not renew it. Such a target is kept until it has had time to register
 * again.
 */
import {type TargetRecord} from '../serving/servingRecords.js';

/** Known registrations of targets. */
export type TargetCatalog = {
	/** Registrations by target identifier. `missingSinceMs` is the time since which the store has not contained the registration. */
	readonly registrations: Map<string, {record: TargetRecord; missingSinceMs: number | undefined}>;
	/** Time of the last failed call to the store. */
	storeFailedAtMs: number;
};

/** Time within which a live target registers again after the store recovers. */
const REREGISTRATION_GRACE_MS = 2200;

/** Creates an empty catalog. */
export function createTargetCatalog(): TargetCatalog {
	return {registrations: new Map(), storeFailedAtMs: Number.NEGATIVE_INFINITY};
}

/**
 * Applies added, changed and removed registrations to the catalog, which changes
 * in place. A target that is known to be leaving stays so until it registers with
 * a new start time.
 *
 * @param change - current records and identifiers of removed targets; with `isComplete`, `targets` is the complete list and `removed` is ignored
 */
export function applyRegistrations(
	catalog: TargetCatalog,
	change: {readonly targets: readonly TargetRecord[]; readonly removed: readonly string[]; readonly isComplete: boolean},
	nowMs: number,
): void {
	const presentTargetIds = new Set(change.targets.map(({targetId}) => targetId));
	const removedTargetIds = change.isComplete
		? [...catalog.registrations.keys()].filter(targetId => !presentTargetIds.has(targetId))
		: change.removed;
	for (const targetId of removedTargetIds) {
		const registration = catalog.registrations.get(targetId);
		if (registration !== undefined) {
			registration.missingSinceMs ??= nowMs;
		}
	}

	for (const record of change.targets) {
		const previous = catalog.registrations.get(record.targetId)?.record;
		const wasLeaving = previous?.isLeaving === true && previous.startedAtMs === record.startedAtMs;
		catalog.registrations.set(record.targetId, {record: {...record, isLeaving: record.isLeaving || wasLeaving}, missingSinceMs: undefined});
	}

	expireRegistrations(catalog, nowMs);
}

/**
 * Removes the targets whose registration is missing and whose time to register
 * again after a store failure is over. Changes the catalog in place.
 *
 * @returns whether a target was removed
 */
export function expireRegistrations(catalog: TargetCatalog, nowMs: number): boolean {
	let isChanged = false;
	for (const [targetId, {missingSinceMs}] of catalog.registrations) {
		if (missingSinceMs !== undefined && nowMs >= catalog.storeFailedAtMs + REREGISTRATION_GRACE_MS) {
			catalog.registrations.delete(targetId);
			isChanged = true;
		}
	}

	return isChanged;
}

/** Lists the targets of the catalog, including those with a missing registration that may still return. */
export function listTargets(catalog: TargetCatalog): TargetRecord[] {
	return [...catalog.registrations.values()].map(({record}) => record);
}
