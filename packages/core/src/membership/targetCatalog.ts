/**
 * The targets that may be in use, from registrations that come by list and by
 * change. A registration that disappears while the store is disturbed may have
 * lapsed for that alone, so its target is kept until it had time to register anew.
 */
import {type TargetRecord} from '../serving/servingRecords.js';

/** What is known of registrations. */
export type TargetCatalog = {
	readonly registrations: Map<string, {record: TargetRecord; missingSinceMs: number | undefined}>;
	/** Last time at which the store failed a call. */
	storeFailedAtMs: number;
};

/** Time in which a live target is registered again once the store is back. */
const REREGISTRATION_GRACE_MS = 2200;

/**
 * Creates a catalog without targets.
 *
 * @returns the catalog
 */
export function createTargetCatalog(): TargetCatalog {
	return {registrations: new Map(), storeFailedAtMs: Number.NEGATIVE_INFINITY};
}

/**
 * Takes over changed registrations.
 *
 * @param catalog - catalog, changed
 * @param change - records that are there, names that are gone, and whether the records are all there are
 * @param nowMs - present time
 */
export function applyRegistrations(catalog: TargetCatalog, change: {readonly targets: readonly TargetRecord[]; readonly removed: readonly string[]; readonly isWhole: boolean}, nowMs: number): void {
	const presentTargetIds = new Set(change.targets.map(({targetId}) => targetId));
	const removedTargetIds = change.isWhole
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
 * Drops the targets whose registration is gone for good.
 *
 * @param catalog - catalog, changed
 * @param nowMs - present time
 * @returns whether any was dropped
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

/**
 * Lists the targets of a catalog.
 *
 * @param catalog - the catalog
 * @returns records of all that are not known to be gone
 */
export function listTargets(catalog: TargetCatalog): TargetRecord[] {
	return [...catalog.registrations.values()].map(({record}) => record);
}
