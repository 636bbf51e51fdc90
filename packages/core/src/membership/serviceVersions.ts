/**
 * Software versions of the targets of each service. Several versions may serve side by side. An entry that has just
 * started, or that was cut off from the store, does not know by itself which ones served lately, so entries tell one
 * another.
 */
import {type TargetRecord} from '../serving/servingRecords.js';

/** What an entry tells its peers about software versions. */
export type ReportedVersions = readonly [
	/** Time for which the entry and the peers that it heard from have known all versions. */
	historyMs: number,
	/** Time since that knowledge was last confirmed by the store. */
	staleMs: number,
	versions: ReadonlyArray<readonly [serviceId: string, softwareVersion: string, ageMs: number]>,
];

/** A version that an entry did not know, and all versions of its service that it knows now. */
export type AddedVersion = {readonly serviceId: string; readonly softwareVersion: string; readonly known: readonly string[]};

/** Software versions of the targets of each service, as known to one entry. */
export type ServiceVersions = {
	/** Records the registered targets. Returns the versions that were not known. */
	readonly observe: (targets: readonly TargetRecord[], nowMs: number) => readonly AddedVersion[];
	/** Records that the store has confirmed the registered targets. */
	readonly confirm: (nowMs: number) => void;
	/** Makes all knowledge older by a time that the clock has not counted. */
	readonly recordSuspension: (suspendedMs: number) => void;
	/** Returns whether targets of several versions served a service lately; without `serviceId`, whether that holds for any service. */
	readonly isMixed: (nowMs: number, serviceId?: string) => boolean;
	/**
	 * Returns the version of a service, if it is certain that it has had no other for `horizonMs`. Before an entry has that
	 * much history, it is certain only if there is no peer that could know of another version.
	 */
	readonly findSole: (serviceId: string, options: {readonly horizonMs: number; readonly hasPeers: boolean; readonly nowMs: number}) => string | undefined;
	/** Merges the report of a peer. Returns the versions that were not known. */
	readonly merge: (reported: ReportedVersions, nowMs: number) => readonly AddedVersion[];
	readonly toReport: (nowMs: number) => ReportedVersions;
};

/** Time for which a version whose last target is gone still counts: longer than any stream lasts. */
const RETENTION_MS = 60_000;
/** Time without confirmation by the store, directly or through a peer, after which a version may have been added unnoticed. Watches of several entries end within it. */
const MAX_STALE_MS = 2000;

/** Creates the knowledge of an entry that has just started. */
export function createServiceVersions(): ServiceVersions {
	const seenAtMs = new Map<string, Map<string, number>>();
	let knownSinceMs = Number.POSITIVE_INFINITY;
	let confirmedAtMs = Number.NEGATIVE_INFINITY;

	const record = (serviceId: string, softwareVersion: string, atMs: number): AddedVersion[] => {
		const versions = seenAtMs.get(serviceId) ?? new Map<string, number>();
		seenAtMs.set(serviceId, versions);
		const knownAtMs = versions.get(softwareVersion);
		versions.set(softwareVersion, Math.max(knownAtMs ?? atMs, atMs));
		return knownAtMs === undefined ? [{serviceId, softwareVersion, known: [...versions.keys()]}] : [];
	};

	const listSince = (serviceId: string, sinceMs: number): string[] =>
		[...seenAtMs.get(serviceId) ?? []].filter(([, atMs]) => atMs >= sinceMs).map(([softwareVersion]) => softwareVersion);

	const expire = (nowMs: number) => {
		for (const [serviceId, versions] of seenAtMs) {
			for (const [softwareVersion, atMs] of versions) {
				if (nowMs - atMs > RETENTION_MS) {
					versions.delete(softwareVersion);
				}
			}

			if (versions.size === 0) {
				seenAtMs.delete(serviceId);
			}
		}
	};

	return {
		observe(targets, nowMs) {
			const added = targets.flatMap(({serviceId, softwareVersion}) => record(serviceId, softwareVersion, nowMs));
			expire(nowMs);
			return added;
		},
		confirm(nowMs) {
			knownSinceMs = Math.min(knownSinceMs, nowMs);
			confirmedAtMs = nowMs;
		},
		recordSuspension(suspendedMs) {
			confirmedAtMs -= suspendedMs;
		},
		isMixed: (nowMs, serviceId) => (serviceId === undefined ? [...seenAtMs.keys()] : [serviceId]).some(id => listSince(id, nowMs - RETENTION_MS).length > 1),
		findSole(serviceId, {horizonMs, hasPeers, nowMs}) {
			const [version, ...others] = listSince(serviceId, nowMs - horizonMs);
			const isCertain = (!hasPeers || knownSinceMs <= nowMs - horizonMs) && nowMs - confirmedAtMs <= MAX_STALE_MS;
			return isCertain && others.length === 0 ? version : undefined;
		},
		merge([historyMs, staleMs, versions], nowMs) {
			if (historyMs < 0) {
				return [];
			}

			knownSinceMs = Math.min(knownSinceMs, nowMs - historyMs);
			confirmedAtMs = Math.max(confirmedAtMs, nowMs - Math.max(0, staleMs));
			return versions.filter(version => version[2] <= RETENTION_MS).flatMap(([serviceId, softwareVersion, ageMs]) => record(serviceId, softwareVersion, nowMs - Math.max(0, ageMs)));
		},
		toReport: nowMs => [
			Number.isFinite(knownSinceMs) ? Math.round(nowMs - knownSinceMs) : UNKNOWN,
			Number.isFinite(confirmedAtMs) ? Math.round(nowMs - confirmedAtMs) : UNKNOWN,
			[...seenAtMs].flatMap(([serviceId, versions]) => [...versions].map(([softwareVersion, atMs]) => [serviceId, softwareVersion, Math.round(nowMs - atMs)] as const)),
		],
	};
}

/** Time in a report of an entry that knows no versions yet. */
const UNKNOWN = -1;
