import {type ConfigurationReply, type InstanceRecord} from '@damaskspool/shared';
import {isKeySetFresh} from '../../keys/keyFreshness.js';
import {type EntryEffect} from '../../reducer/entryEffects.js';
import {type EntryEvent} from '../../reducer/entryEvents.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState, type EntryState} from '../../reducer/entryState.js';
import {createUpdate} from '../configurationCopy.js';
import {hasPeers} from '../propagationHandlers.js';

/** Time step of the simulation. */
export const TICK_MS = 100;
/** Timeout of store calls in the simulation. */
export const CALL_TIMEOUT_MS = 800;
/** An entry of the fleet and its current faults. */
export type SimulatedEntry = {
	readonly state: EntryState;
	readonly record: InstanceRecord;
	hasStore: boolean;
	isReachable: boolean;
	isPaused: boolean;
};

/** Entries that share a simulated store and network with injected faults. Replies and forwarded updates may be delayed or lost. */
export class SimulatedFleet {
	readonly entries: SimulatedEntry[];
	nowMs = 0;
	/** Time at which each revision was accepted, by revision. The last index is the revision of the store. */
	readonly acceptedAtMs = [0, 0];
	isStoreUp = true;
	private readonly pending: Array<{atMs: number; run: () => void}> = [];

	constructor(zones: readonly string[], private readonly getDelayMs: () => number) {
		const instances = zones.map((availabilityZone, index): InstanceRecord => ({
			instanceId: `entry-${index}`, kind: 'entry', availabilityZone, region: 'r', address: `entry-${index}`, state: 'live', serviceId: '', incarnation: 1,
		}));
		this.entries = instances.map(record => ({
			state: createEntryState({instanceId: record.instanceId, availabilityZone: record.availabilityZone, processId: record.instanceId}),
			record,
			hasStore: true,
			isReachable: true,
			isPaused: false,
		}));
		for (const entry of this.entries) {
			this.dispatch(entry, {type: 'instances.listed', nowMs: 0, instances});
		}
	}

	get revision(): number {
		return this.acceptedAtMs.length - 1;
	}

	/** Accepts a change if the proposer reaches the store. The proposer applies the change at once. */
	acceptChange(proposer: SimulatedEntry): void {
		if (!this.isStoreUp || !proposer.hasStore || proposer.isPaused) {
			return;
		}

		const {nowMs} = this;
		const {revision: heldRevision} = proposer.state.configuration.copy;
		const fromRevision = this.revision;
		this.acceptedAtMs.push(nowMs);
		this.dispatch(proposer, {
			type: 'configuration.updated', nowMs, source: 'store', update: {fromRevision: heldRevision, revision: fromRevision, parts: []},
		});
		this.dispatch(proposer, {
			type: 'configuration.updated', nowMs, source: 'proposal', update: {fromRevision, revision: fromRevision + 1, parts: []},
		});
	}

	/** Advances all clocks. A paused entry receives its events after it resumes. */
	advance(durationMs: number): void {
		for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += TICK_MS;
			const due = this.pending.filter(({atMs}) => atMs <= this.nowMs);
			this.pending.splice(0, this.pending.length, ...this.pending.filter(({atMs}) => atMs > this.nowMs));
			for (const {run} of due) {
				run();
			}

			for (const entry of this.entries) {
				this.dispatch(entry, {type: 'tick', nowMs: this.nowMs});
			}
		}
	}

	isKeySetFresh({state}: SimulatedEntry): boolean {
		return isKeySetFresh({...state.configuration, hasPeers: hasPeers(state)}, this.nowMs);
	}

	private dispatch(entry: SimulatedEntry, event: EntryEvent): void {
		if (entry.isPaused) {
			this.pending.push({
				atMs: this.nowMs + TICK_MS,
				run: () => {
					this.dispatch(entry, {...event, nowMs: this.nowMs});
				},
			});
			return;
		}

		for (const effect of reduceEntry(entry.state, event)) {
			this.runEffect(entry, effect);
		}
	}

	private runEffect(entry: SimulatedEntry, effect: EntryEffect): void {
		const findEntry = (address: string) => this.entries.find(({record}) => record.address === address)!;
		if (effect.type === 'configuration.watchStore') {
			this.callStore(entry);
		}

		if (effect.type === 'configuration.queryPeer') {
			this.callPeer(entry, findEntry(effect.address));
		}

		if (effect.type === 'configuration.pass') {
			for (const peer of effect.addresses.map(address => findEntry(address))) {
				this.scheduleDelivery(entry, peer, () => {
					this.dispatch(peer, {
						type: 'configuration.updated', nowMs: this.nowMs, update: effect.update, source: 'peer',
					});
				});
			}
		}
	}

	private callStore(entry: SimulatedEntry): void {
		const sentAtMs = this.nowMs;
		const delayMs = this.getDelayMs();
		const isAnswered = this.isStoreUp && entry.hasStore && delayMs <= CALL_TIMEOUT_MS;
		const {revision} = this;
		this.pending.push({
			atMs: sentAtMs + Math.min(delayMs, CALL_TIMEOUT_MS),
			run: () => {
				const elapsed = () => ({nowMs: this.nowMs, elapsedMs: this.nowMs - sentAtMs});
				if (!isAnswered) {
					this.dispatch(entry, {type: 'configuration.storeUnreachable', ...elapsed()});
					return;
				}

				this.dispatch(entry, {
					type: 'configuration.updated', nowMs: this.nowMs, source: 'store', update: {fromRevision: entry.state.configuration.copy.revision, revision, parts: []},
				});
				this.dispatch(entry, {type: 'configuration.storeConfirmed', revision, ...elapsed()});
			},
		});
	}

	private callPeer(entry: SimulatedEntry, peer: SimulatedEntry): void {
		const sentAtMs = this.nowMs;
		this.scheduleDelivery(entry, peer, () => {
			if (peer.isPaused) {
				return;
			}

			const requestedRevision = entry.state.configuration.copy.revision;
			const answer = this.createAnswer(peer, requestedRevision);
			if (requestedRevision > peer.state.configuration.copy.revision) {
				this.dispatch(peer, {type: 'configuration.peerAhead', nowMs: this.nowMs, peerId: entry.record.instanceId});
			}

			this.scheduleDelivery(peer, entry, () => {
				if (answer.update !== undefined) {
					this.dispatch(entry, {
						type: 'configuration.updated', nowMs: this.nowMs, update: answer.update, source: 'peer',
					});
				}

				this.dispatch(entry, {
					type: 'configuration.peerAnswered', nowMs: this.nowMs, elapsedMs: this.nowMs - sentAtMs, peerId: peer.record.instanceId, answer,
				});
			});
		});
	}

	private createAnswer({state}: SimulatedEntry, requestedRevision: number): ConfigurationReply {
		const {copy, confirmedAtMs} = state.configuration;
		const update = createUpdate(copy, requestedRevision);
		return {
			instanceId: state.instanceId,
			revision: copy.revision,
			...(Number.isFinite(confirmedAtMs) && {confirmedAgeMs: this.nowMs - confirmedAtMs}),
			...(state.propagation.storeUnavailableSinceMs !== undefined && {storeSilentAgeMs: this.nowMs - state.propagation.storeUnavailableSinceMs}),
			...(update !== undefined && {update}),
		};
	}

	private scheduleDelivery(from: SimulatedEntry, to: SimulatedEntry, run: () => void): void {
		if (from.isReachable && to.isReachable) {
			this.pending.push({atMs: this.nowMs + this.getDelayMs(), run});
		}
	}
}
