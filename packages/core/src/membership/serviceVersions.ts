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
	/** Returns the version of a service, if it is certain that it has had no other for `horizonMs`, or for as long as versions are remembered if that is less. */
	readonly findSole: (serviceId: string, options: {readonly horizonMs: number; readonly nowMs: number}) => string | undefined;
	/** Sets the time for which a version whose last target is gone still counts, if it is longer than the shortest one. */
	readonly setRetention: (retentionMs: number) => void;
	/** Records versions that the store keeps. Those that this entry does not know may have served until now. Returns them. */
	readonly addStored: (versions: ReadonlyArray<readonly [serviceId: string, softwareVersion: string]>, nowMs: number) => readonly AddedVersion[];
	/** Records that all versions of the past are known. */
	readonly addHistory: (nowMs: number) => void;
	/** Returns whether all versions are known that served for as long as versions are remembered. */
	readonly hasHistory: (nowMs: number) => boolean;
	/** Returns whether the store, directly or through a peer, has confirmed the registered targets lately. */
	readonly isConfirmed: (nowMs: number) => boolean;
	/** Returns whether targets of a version served lately. */
	readonly isRecent: (serviceId: string, softwareVersion: string, nowMs: number) => boolean;
	/** Lists the versions that served lately, as pairs with their service. */
	readonly list: (nowMs: number) => ReadonlyArray<readonly [serviceId: string, softwareVersion: string]>;
	/** Merges the report of a peer. Returns the versions that were not known. */
	readonly merge: (reported: ReportedVersions, nowMs: number) => readonly AddedVersion[];
	readonly toReport: (nowMs: number) => ReportedVersions;
};

/** Shortest time for which a version whose last target is gone still counts. */
const MIN_RETENTION_MS = 60_000;
/** Time without confirmation by the store, directly or through a peer, after which a version may have been added unnoticed. Watches of several entries end within it. */
const MAX_STALE_MS = 2000;

/** Creates the knowledge of an entry that has just started. */
export function createServiceVersions(): ServiceVersions {
	const seenAtMs = new Map<string, Map<string, number>>();
	let retentionMs = MIN_RETENTION_MS;
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

	const isConfirmed = (nowMs: number) => nowMs - confirmedAtMs <= MAX_STALE_MS;

	const expire = (nowMs: number) => {
		for (const [serviceId, versions] of seenAtMs) {
			for (const [softwareVersion, atMs] of versions) {
				if (nowMs - atMs > retentionMs) {
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
		isMixed: (nowMs, serviceId) => (serviceId === undefined ? [...seenAtMs.keys()] : [serviceId]).some(id => listSince(id, nowMs - retentionMs).length > 1),
		findSole(serviceId, {horizonMs, nowMs}) {
			const sinceMs = nowMs - Math.min(horizonMs, retentionMs);
			const [version, ...others] = listSince(serviceId, sinceMs);
			const isCertain = knownSinceMs <= sinceMs && isConfirmed(nowMs);
			return isCertain && others.length === 0 ? version : undefined;
		},
		setRetention(longestReturnMs) {
			retentionMs = Math.max(MIN_RETENTION_MS, longestReturnMs);
		},
		addStored: (versions, nowMs) => versions.flatMap(([serviceId, softwareVersion]) =>
			seenAtMs.get(serviceId)?.has(softwareVersion) === true ? [] : record(serviceId, softwareVersion, nowMs)),
		addHistory(nowMs) {
			knownSinceMs = Math.min(knownSinceMs, nowMs - retentionMs);
		},
		hasHistory: nowMs => knownSinceMs <= nowMs - retentionMs,
		isConfirmed,
		isRecent: (serviceId, softwareVersion, nowMs) => listSince(serviceId, nowMs - retentionMs).includes(softwareVersion),
		list: nowMs => [...seenAtMs.keys()].flatMap(serviceId => listSince(serviceId, nowMs - retentionMs).map(softwareVersion => [serviceId, softwareVersion] as const)),
		merge([historyMs, staleMs, versions], nowMs) {
			if (historyMs < 0) {
				return [];
			}

			knownSinceMs = Math.min(knownSinceMs, nowMs - historyMs);
			confirmedAtMs = Math.max(confirmedAtMs, nowMs - Math.max(0, staleMs));
			return versions.filter(version => version[2] <= retentionMs).flatMap(([serviceId, softwareVersion, ageMs]) => record(serviceId, softwareVersion, nowMs - Math.max(0, ageMs)));
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
