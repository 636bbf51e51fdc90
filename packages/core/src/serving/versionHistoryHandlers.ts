/**
 * Keeps the software versions of services with streams in the store. It answers the load of a release: all entries see the
 * first target of a version at the same moment, and one of them writes. Nothing is called while the versions stay as they are.
 */
import {findHeldDuty} from '../lease/leaseState.js';
import {listTargets} from '../membership/targetCatalog.js';
import {
	applyStoredVersions, applyWrittenVersions, joinVersions, listHeldTargets, listRecorded, mergeReportedHistory, UNKNOWN_VERSION, type VersionsByService,
} from '../membership/versionHistory.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {createEntryRecord} from './createEntryRecord.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {ROUTE_KINDS, type ServingConfiguration} from './servingRecords.js';
import {CONTROL_DUTY, type ServingState} from './servingState.js';
import {computeReturnLimitMs, reportAddedVersions} from './streamContinuity.js';
import {countWritersBefore} from './writerRank.js';

/** Delay after a call that failed. */
const RETRY_DELAY_MS = 500;
/** Time that each entry leaves the one ranked before it, for a write and the report of it. */
const RANK_DELAY_MS = 300;
/** Highest rank that makes an entry wait longer. All entries behind it write at the same time if every one before them fails. */
const MAX_RANK = 8;
/** Time that an entry which does not know the versions of the past leaves those that do, before it says so in the store. */
const UNKNOWN_DELAY_MS = 2000;
/** Suspension after which versions may have been removed from the store unnoticed: half of the shortest time for which they stay. */
const MAX_SUSPENSION_MS = 30_000;

/** Handlers that read and write the versions, and hold targets back whose version is not stored. */
export const versionHistoryHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'targets.changed': (state, {nowMs}) => advanceHistory(state, nowMs),
	'configuration.changed'(state, {nowMs}) {
		const streamRoutes = state.configuration?.routes.filter(({kind}) => kind === ROUTE_KINDS.stream) ?? [];
		state.serviceVersions.setRetention(Math.max(0, ...streamRoutes.map(route => computeReturnLimitMs(route))));
		return advanceHistory(state, nowMs);
	},
	tick: (state, {nowMs}) => advanceHistory(state, nowMs),
	'store.eraChanged'(state, {nowMs}) {
		state.versionHistory.isRead = false;
		return advanceHistory(state, nowMs);
	},
	'process.suspended'({versionHistory}, {suspendedMs}) {
		if (suspendedMs > MAX_SUSPENSION_MS) {
			versionHistory.isRead = false;
			versionHistory.storeVersion = 0;
			versionHistory.recorded = new Map();
		}

		return [];
	},
	'peer.reported'(state, {report, nowMs}) {
		const [reported] = report.versionHistory;
		const isNewer = reported !== undefined && mergeReportedHistory(state.versionHistory, reported);
		return isNewer ? [...addRecorded(state, report.entryId, nowMs), ...advanceHistory(state, nowMs)] : [];
	},
	'versions.readEnded'(state, {result, nowMs}) {
		const {versionHistory} = state;
		versionHistory.isCallInFlight = false;
		if (result.kind === 'failed') {
			versionHistory.nextCallAtMs = nowMs + RETRY_DELAY_MS;
			return [createEntryRecord(state, 'versions.unread', {retryMs: RETRY_DELAY_MS})];
		}

		applyStoredVersions(versionHistory, {storeVersion: result.version, stored: result.stored, storeEra: state.storeEra});
		return [createEntryRecord(state, 'versions.read', describeHistory(state)), ...addRecorded(state, 'store', nowMs), ...advanceHistory(state, nowMs)];
	},
	'versions.writeEnded'(state, {result, nowMs}) {
		const {versionHistory} = state;
		versionHistory.isCallInFlight = false;
		if (result.kind !== 'written') {
			// The write may have taken effect or may still do so, so the object is read again.
			versionHistory.isRead = false;
			versionHistory.nextCallAtMs = result.kind === 'conflict' ? nowMs : nowMs + RETRY_DELAY_MS;
			return [createEntryRecord(state, 'versions.unwritten', {reason: result.kind}), ...advanceHistory(state, nowMs)];
		}

		applyWrittenVersions(versionHistory, result.version, result.stored);
		return [createEntryRecord(state, 'versions.written', describeHistory(state)), ...addRecorded(state, 'store', nowMs), ...advanceHistory(state, nowMs), {type: 'work.report'}];
	},
};

/** Takes over what the store keeps. Returns the log lines of versions that were not known. */
function addRecorded(state: ServingState, toldBy: string, nowMs: number): readonly ServingEffect[] {
	const {versionHistory, serviceVersions} = state;
	const added = serviceVersions.addStored(listRecorded(versionHistory), nowMs);
	// A peer may be late with its report, so only the store itself tells the past.
	if (toldBy === 'store' && versionHistory.isRead && versionHistory.isCertain) {
		serviceVersions.addHistory(nowMs);
	}

	return reportAddedVersions(added, toldBy);
}

/** Returns whether an entry knows versions that it may send streams to, where its targets need that. */
export function maySendStreams({versionHistory: {recorded, heldTargetIds}}: ServingState): boolean {
	return recorded.size > 0 || heldTargetIds.size === 0;
}

/** Holds back the targets whose version is not stored, and reads or writes the object if that is due. */
function advanceHistory(state: ServingState, nowMs: number): readonly ServingEffect[] {
	const {versionHistory, configuration} = state;
	if (!versionHistory.isKept || configuration === undefined || !state.hasTargets) {
		return [];
	}

	const serviceIds = listStreamServices(configuration);
	const held = listHeldTargets(versionHistory, listTargets(state.catalog), serviceIds);
	const isChanged = held.length !== versionHistory.heldTargetIds.size || held.some(({targetId}) => !versionHistory.heldTargetIds.has(targetId));
	versionHistory.heldTargetIds = new Set(held.map(({targetId}) => targetId));
	const effects = isChanged
		? [createEntryRecord(state, 'versions.held', {targets: held.length, versions: joinVersions(held.map(({serviceId, softwareVersion}) => [serviceId, softwareVersion]))})]
		: [];
	if (versionHistory.isCallInFlight || nowMs < versionHistory.nextCallAtMs || state.isStopping) {
		return effects;
	}

	if (!versionHistory.isRead) {
		versionHistory.isCallInFlight = true;
		versionHistory.readStartedAtMs = nowMs;
		return [...effects, {type: 'versions.read'}];
	}

	return [...effects, ...planWrite(state, {serviceIds, isHolding: held.length > 0}, nowMs)];
}

function planWrite(state: ServingState, {serviceIds, isHolding}: {readonly serviceIds: ReadonlySet<string>; readonly isHolding: boolean}, nowMs: number): readonly ServingEffect[] {
	const {versionHistory, serviceVersions, storeEra} = state;
	const {isCertain, storeVersion} = versionHistory;
	const removed = listRemovable(state, nowMs);
	const isPastUnknown = !isCertain && !serviceVersions.hasHistory(nowMs);
	const services = isHolding || !isCertain || removed.length > 0 ? listNextVersions(state, {serviceIds, removed, isPastUnknown}, nowMs) : {};
	const isIncomplete = Object.entries(services).some(([serviceId, versions]) => versions.some(version => versionHistory.recorded.get(serviceId)?.has(version) !== true));
	if (!isIncomplete && isCertain && removed.length === 0) {
		versionHistory.incompleteSinceMs = undefined;
		return [];
	}

	versionHistory.incompleteSinceMs ??= nowMs;
	const waitMs = (removed.length > 0 ? 0 : computeWriteDelayMs(state, nowMs)) + (isPastUnknown && !isHolding ? UNKNOWN_DELAY_MS : 0);
	if (nowMs < versionHistory.incompleteSinceMs + waitMs) {
		return [];
	}

	versionHistory.isCallInFlight = true;
	return [
		createEntryRecord(state, 'versions.writing', {services, removed, expectedVersion: storeVersion}),
		{type: 'versions.write', stored: {era: storeEra, services}, expectedVersion: storeVersion},
	];
}

type WriteOptions = {readonly serviceIds: ReadonlySet<string>; readonly removed: readonly string[]; readonly isPastUnknown: boolean};

/** Lists the versions to store: those that are stored and registered, and if the object may lack some, those that this entry knows. */
function listNextVersions({versionHistory, serviceVersions, catalog}: ServingState, {serviceIds, removed, isPastUnknown}: WriteOptions, nowMs: number): VersionsByService {
	const registered = listTargets(catalog).map(({serviceId, softwareVersion}) => [serviceId, softwareVersion] as const);
	const known = versionHistory.isCertain ? [] : serviceVersions.list(nowMs);
	return joinVersions([
		...listRecorded(versionHistory).filter(([serviceId, softwareVersion]) => !removed.includes(formatVersion(serviceId, softwareVersion))),
		...[...registered, ...known].filter(([serviceId]) => serviceIds.has(serviceId)),
		...(isPastUnknown ? [...serviceIds].map(serviceId => [serviceId, UNKNOWN_VERSION] as const) : []),
	]);
}

/**
 * Lists the stored versions whose streams can no longer be taken up. Only the holder of the duty removes them, while the
 * store confirms that none of their targets is registered.
 */
function listRemovable({lease, versionHistory, serviceVersions}: ServingState, nowMs: number): readonly string[] {
	const isEntitled = versionHistory.isCertain && findHeldDuty(lease, CONTROL_DUTY, nowMs) !== undefined
		&& serviceVersions.isConfirmed(nowMs) && serviceVersions.hasHistory(nowMs);
	return isEntitled
		? listRecorded(versionHistory).filter(([serviceId, softwareVersion]) => !serviceVersions.isRecent(serviceId, softwareVersion, nowMs)).map(version => formatVersion(...version))
		: [];
}

const formatVersion = (serviceId: string, softwareVersion: string) => `${serviceId}/${softwareVersion}`;

/** Computes the time that this entry leaves others to write first. */
function computeWriteDelayMs(state: ServingState, nowMs: number): number {
	return RANK_DELAY_MS * Math.min(MAX_RANK, countWritersBefore(state, 'versions', nowMs));
}

function listStreamServices({routes}: ServingConfiguration): ReadonlySet<string> {
	return new Set(routes.filter(({kind}) => kind === ROUTE_KINDS.stream).flatMap(({shares}) => shares.map(({serviceId}) => serviceId)));
}

function describeHistory({versionHistory: {storeVersion, isCertain, recorded}}: ServingState) {
	return {storeVersion, isCertain, services: Object.fromEntries([...recorded].map(([serviceId, versions]) => [serviceId, [...versions]]))};
}
