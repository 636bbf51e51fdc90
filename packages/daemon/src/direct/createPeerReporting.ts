import {
	isLivePeer, type PeerReport, planReportRoutes, type ServingState,
} from '@damaskspool/core';
import {type PeerAddress} from './createPeerDirectory.js';
import {type PeerReceivers} from './createPeerLink.js';

/** Options of {@link createPeerReporting}. */
export type PeerReportingOptions = {
	readonly state: ServingState;
	/** Time of day in milliseconds since 1970. */
	readonly readWall: () => number;
	/** Registered peers. */
	readonly listAddresses: () => ReadonlyMap<string, PeerAddress>;
};

/** What an entry tells its peers, and whom. */
export type PeerReporting = {
	readonly createReport: () => PeerReport;
	readonly listReceivers: (turn: number) => PeerReceivers;
};

/** Time between reports that carry all counts of usage, the others carry what changed: a lost datagram is made up for well before a window is sealed. */
const WHOLE_USAGE_INTERVAL_MS = 900;

/**
 * Creates the reports of an entry from its state.
 *
 * @param options - state, clock and peers
 * @returns what is told, and to whom
 */
export function createPeerReporting({state, readWall, listAddresses}: PeerReportingOptions): PeerReporting {
	let sequence = 0;
	let usageToldAtMs = 0;

	return {
		createReport() {
			sequence += 1;
			const uses = state.untoldUses;
			state.untoldUses = [];
			const isWhole = state.isStopping || performance.now() - usageToldAtMs >= WHOLE_USAGE_INTERVAL_MS;
			if (isWhole) {
				usageToldAtMs = performance.now();
			}

			return {
				entryId: state.instanceId,
				processId: state.processId,
				availabilityZone: state.availabilityZone,
				sequence,
				wallMs: readWall(),
				work: listWork(state),
				uses,
				crashes: state.suspicions.takeUpdates(),
				usage: state.usage.takeOwn(state.clock.toAgreed(readWall()), isWhole),
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
			return {near: toAddresses(sameZonePeers), far: toAddresses(otherZonePeers)};
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
