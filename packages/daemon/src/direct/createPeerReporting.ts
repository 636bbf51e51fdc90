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
			const prefixUses = state.unreportedPrefixUses;
			state.unreportedPrefixUses = [];
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
				prefixUses,
				crashes: state.suspicions.takeNews(),
				usage: state.usage.takeOwn(state.clock.toAgreed(readWall()), isWhole),
			};
		},
		listReceivers(turn) {
			const addresses = listAddresses();
			const nowMs = performance.now();
			const {near, far} = planReportRoutes({
				availabilityZone: state.availabilityZone,
				turn,
				peers: new Map([...addresses].map(([entryId, {availabilityZone}]) => [
					entryId, {availabilityZone, isLive: isLivePeer(state.placement, entryId, nowMs)},
				])),
			});
			const toAddresses = (entryIds: readonly string[]) => entryIds.map(entryId => addresses.get(entryId)!);
			return {near: toAddresses(near), far: toAddresses(far)};
		},
	};
}

function listWork({placement}: ServingState): PeerReport['work'] {
	const work: Array<PeerReport['work'][number]> = [];
	for (const [targetId, {localWork}] of placement.targets) {
		if (localWork.running > 0 || localWork.prefillMs > 0) {
			work.push([targetId, localWork.running, Math.round(localWork.prefillMs), Math.round(localWork.shortPrefillMs), Math.round(localWork.copyMs)]);
		}
	}

	return work;
}
