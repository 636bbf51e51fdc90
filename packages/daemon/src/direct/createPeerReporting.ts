import {
	isLivePeer, type PeerReport, planReportRoutes, type ServingState,
} from '@damaskspool/core';
import {type PeerAddress} from './createPeerDirectory.js';
import {type PeerReceivers} from './createPeerLink.js';

/** Options of {@link createPeerReporting}. */
export type PeerReportingOptions = {
	readonly state: ServingState;
	/** Time of day in milliseconds since 1970. */
	readonly readWallClock: () => number;
	/** Registered peers. */
	readonly listAddresses: () => ReadonlyMap<string, PeerAddress>;
};

/** What an entry tells its peers, and whom. */
export type PeerReporting = {
	readonly createReport: () => PeerReport;
	readonly listReceivers: (round: number) => PeerReceivers;
};

/** Time between reports that carry all counts of usage, the others carry what changed: a lost datagram is made up for well before a window is sealed. */
const FULL_USAGE_INTERVAL_MS = 900;

/**
 * Creates the reports of an entry from its state.
 *
 * @param options - state, clock and peers
 * @returns what is told, and to whom
 */
export function createPeerReporting({state, readWallClock: readWallClock, listAddresses}: PeerReportingOptions): PeerReporting {
	let sequence = 0;
	let fullUsageReportedAtMs = 0;

	return {
		createReport() {
			sequence += 1;
			const uses = state.untoldUses;
			state.untoldUses = [];
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
				uses,
				crashes: state.suspicions.takeNews(),
				usage: state.usage.takeOwn(state.clock.toAgreed(readWallClock()), hasFullUsage),
			};
		},
		listReceivers(round) {
			const addresses = listAddresses();
			const nowMs = performance.now();
			const {near, far} = planReportRoutes({
				availabilityZone: state.availabilityZone,
				turn: round,
				peers: new Map([...addresses].map(([entryId, {availabilityZone}]) => [
					entryId, {availabilityZone, isLive: isLivePeer(state.placement, entryId, nowMs)},
				])),
			});
			const toAddresses = (entryIds: readonly string[]) => entryIds.map(entryId => addresses.get(entryId)!);
			return {sameZone: toAddresses(near), otherZones: toAddresses(far)};
		},
	};
}

function listWork({placement}: ServingState): PeerReport['work'] {
	const work: Array<PeerReport['work'][number]> = [];
	for (const [targetId, {own}] of placement.targets) {
		if (own.running > 0 || own.readMs > 0) {
			work.push([targetId, own.running, Math.round(own.readMs), Math.round(own.shortReadMs), Math.round(own.copyMs)]);
		}
	}

	return work;
}
