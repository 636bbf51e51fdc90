import {type ConfigurationReply, type InstanceRecord} from '@damaskspool/shared';
import {isKeySetSure} from '../../keys/keyFreshness.js';
import {type EntryEffect} from '../../reducer/entryEffects.js';
import {type EntryEvent} from '../../reducer/entryEvents.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState, type EntryState} from '../../reducer/entryState.js';
import {createUpdate} from '../configurationCopy.js';
import {hasPeers} from '../spreadHandlers.js';

/** Step of the simulated time. */
export const TICK_MS = 100;
/** Longest call of the simulated network. */
export const CALL_TIMEOUT_MS = 800;
/** One entry of the fleet and what is wrong with it. */
export type Simulated = {
	readonly state: EntryState;
	readonly record: InstanceRecord;
	hasStore: boolean;
	isReachable: boolean;
	isPaused: boolean;
};

/** Entries that share a store and a network whose faults are switched. Replies and passed updates come late or never. */
export class Fleet {
	readonly entries: Simulated[];
	nowMs = 0;
	/** Revision of the store, and when each revision was accepted. */
	readonly acceptedAtMs = [0, 0];
	isStoreUp = true;
	private readonly pending: Array<{atMs: number; run: () => void}> = [];

	constructor(zones: readonly string[], private readonly delays: () => number) {
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

	/** Accepts a change; it takes an entry that reaches the store, which has the change at once. */
	accept(proposer: Simulated): void {
		if (!this.isStoreUp || !proposer.hasStore || proposer.isPaused) {
			return;
		}

		const {nowMs} = this;
		const {revision: held} = proposer.state.configuration.copy;
		const fromRevision = this.revision;
		this.acceptedAtMs.push(nowMs);
		this.dispatch(proposer, {
			type: 'configuration.updated', nowMs, source: 'store', update: {fromRevision: held, revision: fromRevision, parts: []},
		});
		this.dispatch(proposer, {
			type: 'configuration.updated', nowMs, source: 'proposal', update: {fromRevision, revision: fromRevision + 1, parts: []},
		});
	}

	/** Advances all clocks; what was due at a paused entry reaches it when it goes on. */
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

	isSure({state}: Simulated): boolean {
		return isKeySetSure({...state.configuration, hasPeers: hasPeers(state)}, this.nowMs);
	}

	private dispatch(entry: Simulated, event: EntryEvent): void {
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
			this.carryOut(entry, effect);
		}
	}

	private carryOut(entry: Simulated, effect: EntryEffect): void {
		const find = (address: string) => this.entries.find(({record}) => record.address === address)!;
		if (effect.type === 'configuration.watchStore') {
			this.callStore(entry);
		}

		if (effect.type === 'configuration.askPeer') {
			this.callPeer(entry, find(effect.address));
		}

		if (effect.type === 'configuration.pass') {
			for (const peer of effect.addresses.map(address => find(address))) {
				this.after(entry, peer, () => {
					this.dispatch(peer, {
						type: 'configuration.updated', nowMs: this.nowMs, update: effect.update, source: 'peer',
					});
				});
			}
		}
	}

	private callStore(entry: Simulated): void {
		const sentAtMs = this.nowMs;
		const delayMs = this.delays();
		const isAnswered = this.isStoreUp && entry.hasStore && delayMs <= CALL_TIMEOUT_MS;
		const {revision} = this;
		this.pending.push({
			atMs: sentAtMs + Math.min(delayMs, CALL_TIMEOUT_MS),
			run: () => {
				const elapsed = () => ({nowMs: this.nowMs, elapsedMs: this.nowMs - sentAtMs});
				if (!isAnswered) {
					this.dispatch(entry, {type: 'configuration.storeSilent', ...elapsed()});
					return;
				}

				this.dispatch(entry, {
					type: 'configuration.updated', nowMs: this.nowMs, source: 'store', update: {fromRevision: entry.state.configuration.copy.revision, revision, parts: []},
				});
				this.dispatch(entry, {type: 'configuration.storeConfirmed', revision, ...elapsed()});
			},
		});
	}

	private callPeer(entry: Simulated, peer: Simulated): void {
		const sentAtMs = this.nowMs;
		this.after(entry, peer, () => {
			if (peer.isPaused) {
				return;
			}

			const asked = entry.state.configuration.copy.revision;
			const answer = this.createAnswer(peer, asked);
			if (asked > peer.state.configuration.copy.revision) {
				this.dispatch(peer, {type: 'configuration.peerAhead', nowMs: this.nowMs, peerId: entry.record.instanceId});
			}

			this.after(peer, entry, () => {
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

	private createAnswer({state}: Simulated, asked: number): ConfigurationReply {
		const {copy, confirmedAtMs} = state.configuration;
		const update = createUpdate(copy, asked);
		return {
			instanceId: state.instanceId,
			revision: copy.revision,
			...(Number.isFinite(confirmedAtMs) && {confirmedAgeMs: this.nowMs - confirmedAtMs}),
			...(state.spread.storeSilentSinceMs !== undefined && {storeSilentAgeMs: this.nowMs - state.spread.storeSilentSinceMs}),
			...(update !== undefined && {update}),
		};
	}

	private after(from: Simulated, to: Simulated, run: () => void): void {
		if (from.isReachable && to.isReachable) {
			this.pending.push({atMs: this.nowMs + this.delays(), run});
		}
	}
}
