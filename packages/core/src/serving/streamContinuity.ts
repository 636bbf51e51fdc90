/**
 * Keeps a stream at the software version that began it: what two versions write does not fit together. The version follows
 * from the first event, for later attempts of the same call and for callers that take the stream up with another request.
 */
import {listTargets} from '../membership/targetCatalog.js';
import {type AddedVersion} from '../membership/serviceVersions.js';
import {findStoredSole} from '../membership/versionHistory.js';
import {computePatienceMs} from './computePatienceMs.js';
import {type CallRequest, type PeerReport, type ServingEffect} from './servingMessages.js';
import {ROUTE_KINDS, type RouteRecord} from './servingRecords.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Added to the longest time within which callers come back: the delay until a change of the targets is known everywhere. */
const CHANGE_DELAY_MS = 2000;
/** Tries of a caller, one after the other: the first one and three retries. Each may last for the longest time that callers wait. */
const MAX_CALLER_TRIES = 4;
/** Time without a report of any peer after which an entry may have missed that a second version serves. Peers report several times as often. */
const MAX_SILENCE_MS = 600;

/** Returns whether a request takes up a stream. */
export function isResumption({resumes}: CallRequest, {kind}: RouteRecord): boolean {
	return kind === ROUTE_KINDS.stream && resumes !== undefined;
}

/** Returns whether the caller of a request has events of its stream from an earlier request. */
export function hasEarlierEvents({request, route}: Pick<ServingCall, 'request' | 'route'>): boolean {
	return isResumption(request, route) && request.resumes?.lastEventId !== undefined;
}

/** Returns the identifier of the request that began, or will begin, the stream of a request. */
export function toStreamRequestId({requestId, resumes}: CallRequest): string {
	return resumes?.requestId ?? requestId;
}

/**
 * Finds the software version that a request's stream must go on at. If nobody has told this entry, the version is certain
 * only if the service has had a single one for longer than a caller waits. Where versions are stored, the store tells.
 *
 * @param options - `isConfirmed` says whether the store was read since the request arrived
 * @returns undefined for a new stream, and if the version is not certain
 */
export function findStreamVersion(
	state: ServingState,
	{request, route, serviceId}: {readonly request: CallRequest; readonly route: RouteRecord; readonly serviceId: string},
	{nowMs, isConfirmed}: {readonly nowMs: number; readonly isConfirmed: boolean},
): string | undefined {
	if (!isResumption(request, route)) {
		return undefined;
	}

	const knownVersion = request.resumes?.requestId === undefined ? undefined : state.streamVersions.resolve(request.resumes.requestId, nowMs);
	if (knownVersion !== undefined || !state.versionHistory.isKept) {
		return knownVersion ?? findSoleVersion(state, {route, serviceId}, nowMs);
	}

	return isConfirmed ? findStoredSole(state.versionHistory, serviceId) : undefined;
}

/** Returns the version of a service if it has certainly had a single one for longer than callers take to come back to a route. */
function findSoleVersion(state: ServingState, {route, serviceId}: {readonly route: RouteRecord; readonly serviceId: string}, nowMs: number): string | undefined {
	const {peers} = state.placement;
	// An entry that has never heard a peer goes by the store, which tells every entry of a change at once.
	const isSilent = peers.size > 0 && [...peers.values()].every(({receivedAtMs}) => nowMs - receivedAtMs > MAX_SILENCE_MS);
	const horizonMs = computeReturnLimitMs(route, state.maxDeadlineMsByRoute.get(route.name));
	return isSilent ? undefined : state.serviceVersions.findSole(serviceId, {horizonMs, nowMs});
}

/**
 * Computes the longest time from the beginning of a stream until its caller takes it up for the last time.
 *
 * @param deadlineMs - longest deadline seen on the route
 */
export function computeReturnLimitMs(route: RouteRecord, deadlineMs = 0): number {
	return (MAX_CALLER_TRIES * (Math.max(route.timeoutMs, deadlineMs) + computePatienceMs(route))) + CHANGE_DELAY_MS;
}

/** Returns what the next report tells peers of software versions. A report without any means that its sender knows of no service with several. */
export function listReportedVersions(state: ServingState, nowMs: number, isComplete: boolean): PeerReport['serviceVersions'] {
	return isComplete || state.serviceVersions.isMixed(nowMs) ? [state.serviceVersions.toReport(nowMs)] : [];
}

/**
 * Records the version of a call's stream at the first event of an attempt.
 *
 * @param call - changed in place
 */
export function recordStreamVersion(state: ServingState, call: ServingCall, nowMs: number): void {
	if (call.route.kind !== ROUTE_KINDS.stream || call.attempt === undefined) {
		return;
	}

	call.streamVersion ??= call.attempt.softwareVersion;
	state.streamVersions.record(toStreamRequestId(call.request), call.streamVersion, {isShared: state.serviceVersions.isMixed(nowMs, call.serviceId), nowMs});
}

/**
 * Records the software versions of the registered targets. Peers are told of streams in progress of services that have
 * several versions now.
 *
 * @returns the log lines of versions that were not known
 */
export function observeVersions(state: ServingState, nowMs: number): readonly ServingEffect[] {
	const added = state.serviceVersions.observe(listTargets(state.catalog), nowMs);
	for (const call of state.calls.values()) {
		if (call.isResponseStarted && call.streamVersion !== undefined && state.serviceVersions.isMixed(nowMs, call.serviceId)) {
			state.streamVersions.record(toStreamRequestId(call.request), call.streamVersion, {isShared: true, nowMs});
		}
	}

	return reportAddedVersions(added, 'store');
}

/** Merges what a peer knows of software versions and streams. Returns the log lines of versions that were not known. */
export function mergeVersions(state: ServingState, {entryId, streams, serviceVersions}: PeerReport, nowMs: number): readonly ServingEffect[] {
	state.streamVersions.merge(streams, nowMs);
	return reportAddedVersions(serviceVersions.flatMap(reported => state.serviceVersions.merge(reported, nowMs)), entryId);
}

/** Returns the log lines of versions that were not known. */
export function reportAddedVersions(added: readonly AddedVersion[], toldBy: string): readonly ServingEffect[] {
	return added.map(({serviceId, softwareVersion, known}) => ({
		type: 'decision.record', name: 'service.versionAdded', subject: serviceId, detail: {softwareVersion, known, toldBy},
	}));
}
