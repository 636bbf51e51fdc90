import {
	isLivePeer, listReportedVersions, type PeerReport, planReportRoutes, type ServingState, takeReportedHistory, takeReportedLimits, takeSpeedUpdates,
} from '@damaskspool/core';
import {type PeerAddress} from './createPeerDirectory.js';
import {type PeerReceivers} from './createPeerLink.js';

/** Options of {@link createPeerReporting}. */
export type PeerReportingOptions = {
	readonly state: ServingState;
	/** Returns milliseconds since 1970. */
	readonly readWallClock: () => number;
	/** Returns the addresses of the registered peers, by entry. */
	readonly listAddresses: () => ReadonlyMap<string, PeerAddress>;
};

/** Creates an entry's reports to its peers and selects their receivers. */
export type PeerReporting = {
	/** Creates the next report. Clears the unreported prefix uses and crashes in the state, so that each is reported once. */
	readonly createReport: () => PeerReport;
	readonly listReceivers: (round: number) => PeerReceivers;
};

/** Interval between reports that carry all usage counts; the others carry only changed counts. The full counts make up for a lost datagram well before a window is sealed. */
const FULL_USAGE_INTERVAL_MS = 900;

/** Returns functions that create reports from the state of an entry and select their receivers. */
export function createPeerReporting({state, readWallClock, listAddresses}: PeerReportingOptions): PeerReporting {
	let sequence = 0;
	let fullUsageReportedAtMs = 0;

	return {
		createReport() {
			sequence += 1;
			const prefixUses = state.unreportedPrefixUses;
			state.unreportedPrefixUses = [];
			const newlyLeaving = state.unreportedLeaving;
			state.unreportedLeaving = [];
			const hasFullUsage = state.isStopping || performance.now() - fullUsageReportedAtMs >= FULL_USAGE_INTERVAL_MS;
			if (hasFullUsage) {
				fullUsageReportedAtMs = performance.now();
			}

			return {
				entryId: state.instanceId,
				processId: state.processId,
				availabilityZone: state.availabilityZone,
				sequence,
				wallMs: readWallClock(),
				work: listWork(state),
				prefixUses,
				// The complete list makes up for a lost report.
				leaving: hasFullUsage ? listLeaving(state) : newlyLeaving,
				limits: takeReportedLimits(state, performance.now(), hasFullUsage),
				crashes: state.poisonRequests.takeUpdates(),
				poisonParts: state.poisonParts.takeUpdates(performance.now(), hasFullUsage),
				streams: state.streamVersions.takeUpdates(),
				serviceVersions: listReportedVersions(state, performance.now(), hasFullUsage),
				storeEra: state.storeEra,
				sealed: hasFullUsage ? state.usage.takeSealedForPeers() : [],
				usage: state.usage.takeLocalCounts(state.clock.toMedianTime(readWallClock()), hasFullUsage),
				versionHistory: takeReportedHistory(state.versionHistory, hasFullUsage),
				allotments: state.allotments.takeUpdates(performance.now(), hasFullUsage),
				speeds: takeSpeedUpdates(state, performance.now(), hasFullUsage),
				heldTokens: listHeldTokens(state),
			};
		},
		listReceivers(round) {
			const addresses = listAddresses();
			const nowMs = performance.now();
			const {sameZonePeers, otherZonePeers} = planReportRoutes({
				availabilityZone: state.availabilityZone,
				round,
				peers: new Map([...addresses].map(([entryId, {availabilityZone}]) => [
					entryId, {availabilityZone, isLive: isLivePeer(state.placement, entryId, nowMs)},
				])),
			});
			const toAddresses = (entryIds: readonly string[]) => entryIds.map(entryId => addresses.get(entryId)!);
			return {sameZone: toAddresses(sameZonePeers), otherZones: toAddresses(otherZonePeers)};
		},
	};
}

/** Lists the registered targets that told this entry or a peer that they are about to stop. */
function listLeaving({catalog}: ServingState): PeerReport['leaving'] {
	return [...catalog.noticedLeaving].filter(([targetId, startedAtMs]) => catalog.registrations.get(targetId)?.record.startedAtMs === startedAtMs);
}

function listHeldTokens({placement}: ServingState): PeerReport['heldTokens'] {
	return [...placement.targets].filter(([, {localWork}]) => localWork.tokens > 0).map(([targetId, {localWork}]) => [targetId, localWork.tokens]);
}

function listWork({placement}: ServingState): PeerReport['work'] {
	const work: Array<PeerReport['work'][number]> = [];
	for (const [targetId, {localWork}] of placement.targets) {
		if (localWork.running > 0 || localWork.prefillMs > 0) {
			work.push([targetId, localWork.running, Math.round(localWork.prefillMs), Math.round(localWork.urgentPrefillMs), Math.round(localWork.copyMs)]);
		}
	}

	return work;
}
