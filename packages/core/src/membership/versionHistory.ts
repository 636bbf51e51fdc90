/**
 * Software versions at which streams may have begun, as the store keeps them for each service. Reports between entries
 * are lost when all entries end together, and the targets that are left then do not tell which versions served before.
 * A version is therefore stored before the first stream is sent to its targets, and removed once none of its streams can
 * be taken up. The object holds no times, so clocks of entries do not matter.
 */
import {toEraRevision} from '@damaskspool/shared';
import {type TargetRecord} from '../serving/servingRecords.js';

/** Versions of each service, by service. */
export type VersionsByService = Readonly<Record<string, readonly string[]>>;

/** Content of the object in the store. */
export type StoredVersions = {
	/** Era of the store in which the object was written. In a later one the object is older than what entries have stored. */
	readonly era: number;
	readonly services: VersionsByService;
};

/** What an entry tells its peers about the object in the store. */
export type ReportedHistory = readonly [storeVersion: number, isCertain: boolean, services: ReadonlyArray<readonly [serviceId: string, softwareVersions: readonly string[]]>];

/** What an entry knows of the object in the store. */
export type VersionHistory = {
	/** Whether the deployment keeps the object. Otherwise streams are sent to targets of any version. */
	readonly isKept: boolean;
	recorded: ReadonlyMap<string, ReadonlySet<string>>;
	/** Version of the object; zero if there is none. */
	storeVersion: number;
	/** Whether the object was read in this era, and no write since then had an unknown outcome. */
	isRead: boolean;
	/** Whether the object holds every version that the store was ever told of. It does not after the store came back from an older copy. */
	isCertain: boolean;
	isCallInFlight: boolean;
	/** Start of the latest read. */
	readStartedAtMs: number;
	nextCallAtMs: number;
	/** Time since which the object lacks something. */
	incompleteSinceMs: number | undefined;
	/** Targets that get no streams, because their version is not stored. */
	heldTargetIds: ReadonlySet<string>;
	/** Number of reports that still tell peers of the last change. */
	unreportedCount: number;
};

/** Stands for any version in an object that may lack some: it was lost with the store's latest changes, or could not be read. */
export const UNKNOWN_VERSION = '?unknown';
/** Longest identifier of a service or version that is stored. Targets with longer ones get no streams. */
export const MAX_IDENTIFIER_LENGTH = 200;
/** Maximum number of versions of a service. Targets of further ones get no streams until older ones are removed. */
export const MAX_SERVICE_VERSIONS = 32;
/** Maximum number of services. */
export const MAX_SERVICES = 256;
/** Highest era of a store that lost nothing so far. Without an object in such an era, no stream was sent yet. */
const FIRST_ERA = 1;
/** Reports that tell of a change, so that one that is lost makes no difference. */
const REPORTS_OF_CHANGE = 2;

/** Creates the knowledge of an entry that has just started. */
export function createVersionHistory(isKept: boolean): VersionHistory {
	return {
		isKept,
		recorded: new Map(),
		storeVersion: 0,
		isRead: false,
		isCertain: false,
		isCallInFlight: false,
		readStartedAtMs: Number.NEGATIVE_INFINITY,
		nextCallAtMs: Number.NEGATIVE_INFINITY,
		incompleteSinceMs: undefined,
		heldTargetIds: new Set(),
		unreportedCount: 0,
	};
}

/**
 * Applies the object that the store returned. Changes `history`.
 *
 * @param stored - content of the object; undefined if it does not exist or is malformed
 * @param storeEra - era that the store is in
 */
export function applyStoredVersions(history: VersionHistory, {storeVersion, stored, storeEra}: {
	readonly storeVersion: number; readonly stored: StoredVersions | undefined; readonly storeEra: number;
}): void {
	history.isRead = true;
	if (storeVersion === 0 && history.storeVersion > 0) {
		// The store came back from a copy without the object. What this entry knows is written again.
		history.storeVersion = 0;
		history.isCertain = false;
		return;
	}

	if (storeVersion < history.storeVersion) {
		// A peer has told of a newer object while this one was read.
		return;
	}

	history.storeVersion = storeVersion;
	history.isCertain = storeVersion === 0 ? storeEra <= FIRST_ERA : stored?.era === toEraRevision(storeVersion).era;
	history.recorded = toRecorded(Object.entries(stored?.services ?? {}), history.isCertain ? new Map() : history.recorded);
}

/** Applies the object that this entry has written. Changes `history`. */
export function applyWrittenVersions(history: VersionHistory, storeVersion: number, {era, services}: StoredVersions): void {
	if (storeVersion > history.storeVersion) {
		history.storeVersion = storeVersion;
		history.isCertain = era === toEraRevision(storeVersion).era;
		history.recorded = toRecorded(Object.entries(services));
		history.unreportedCount = REPORTS_OF_CHANGE;
	}
}

/**
 * Merges the object that a peer knows. Changes `history`.
 *
 * @returns whether the peer knows a newer object
 */
export function mergeReportedHistory(history: VersionHistory, [storeVersion, isCertain, services]: ReportedHistory): boolean {
	if (storeVersion <= history.storeVersion) {
		return false;
	}

	history.storeVersion = storeVersion;
	history.isCertain = isCertain;
	history.recorded = toRecorded(services, isCertain ? new Map() : history.recorded);
	return true;
}

/** Returns what the next report tells peers. Counts the reports of a change down. */
export function takeReportedHistory(history: VersionHistory, isComplete: boolean): readonly ReportedHistory[] {
	const isDue = isComplete || history.unreportedCount > 0;
	history.unreportedCount = Math.max(0, history.unreportedCount - 1);
	return isDue && history.storeVersion > 0
		? [[history.storeVersion, history.isCertain, [...history.recorded].map(([serviceId, versions]) => [serviceId, [...versions]] as const)]]
		: [];
}

/** Returns the version of a service if the object holds a single one. Every stream that callers can take up began at it. */
export function findStoredSole({isRead, isCertain, recorded}: VersionHistory, serviceId: string): string | undefined {
	const [version, ...others] = recorded.get(serviceId) ?? [];
	return isRead && isCertain && others.length === 0 && version !== UNKNOWN_VERSION ? version : undefined;
}

/** Lists the targets whose version is not stored. Only the given services count. */
export function listHeldTargets({isKept, recorded}: VersionHistory, targets: readonly TargetRecord[], serviceIds: ReadonlySet<string>): readonly TargetRecord[] {
	return isKept
		? targets.filter(({serviceId, softwareVersion}) => serviceIds.has(serviceId) && recorded.get(serviceId)?.has(softwareVersion) !== true)
		: [];
}

/** Joins versions of services into the content of the object, within its limits. The first ones stay. */
export function joinVersions(parts: Iterable<readonly [serviceId: string, softwareVersion: string]>): VersionsByService {
	const services = new Map<string, Set<string>>();
	for (const [serviceId, softwareVersion] of parts) {
		const versions = services.get(serviceId) ?? new Set();
		const isStorable = serviceId.length <= MAX_IDENTIFIER_LENGTH && softwareVersion.length <= MAX_IDENTIFIER_LENGTH
			&& versions.size < MAX_SERVICE_VERSIONS && (services.has(serviceId) || services.size < MAX_SERVICES);
		if (isStorable) {
			services.set(serviceId, versions.add(softwareVersion));
		}
	}

	return Object.fromEntries([...services].map(([serviceId, versions]) => [serviceId, [...versions]]));
}

/** Lists the versions that are stored, as pairs with their service. */
export function listRecorded({recorded}: VersionHistory): ReadonlyArray<readonly [serviceId: string, softwareVersion: string]> {
	return [...recorded].flatMap(([serviceId, versions]) => [...versions].map(softwareVersion => [serviceId, softwareVersion] as const));
}

function toRecorded(
	services: ReadonlyArray<readonly [serviceId: string, softwareVersions: readonly string[]]>,
	known: ReadonlyMap<string, ReadonlySet<string>> = new Map(),
): ReadonlyMap<string, ReadonlySet<string>> {
	const recorded = new Map(known);
	for (const [serviceId, versions] of services) {
		recorded.set(serviceId, new Set([...recorded.get(serviceId) ?? [], ...versions]));
	}

	return recorded;
}
