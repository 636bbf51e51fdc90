import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type LeaseRecord} from '@damaskspool/shared';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState, type EntryState} from '../../reducer/entryState.js';
import {type EntryEffect} from '../../reducer/entryEffects.js';
import {type EntryEvent} from '../../reducer/entryEvents.js';
import {findHeldDuty} from '../leaseState.js';

const SEED = 20_261_204;
const DUTY = 'fleet/a';

type StoredLease = {version: number; record: LeaseRecord | undefined};
/** An entry with its unprocessed events, and the offset and rate of its clock. */
type Bidder = {
	state: EntryState; inbox: Array<(nowMs: number) => EntryEvent>; isPaused: boolean; offsetMs: number; rate: number;
};

function createBidder(index: number): Bidder {
	const state = createEntryState({
		instanceId: `e${index}`, availabilityZone: 'a', region: 'r', processId: `p${index}`,
	});
	return {
		state, inbox: [], isPaused: false, offsetMs: index * 1_000_000, rate: 1 + ((index - 1) * 0.08),
	};
}

const steps = fc.record({
	kind: fc.constantFrom('none', 'none', 'none', 'none', 'pause', 'resume', 'storeDown', 'storeUp', 'replyLost', 'replyLate', 'restart'),
	index: fc.integer({min: 0, max: 2}),
	waitMs: fc.integer({min: 1, max: 1500}),
});

describe('the lease of a duty', () => {
	// Guards against two holders of a duty. Pauses, clocks of different rates, store outages, and lost or late replies can cause it.
	it('has at most one holder at a time and rising epochs despite pauses, outages, restarts and lost or late replies', () => {
		fc.assert(fc.property(fc.array(steps, {maxLength: 120}), script => {
			const bidders = [0, 1, 2].map(index => createBidder(index));
			const stored: StoredLease = {version: 0, record: undefined};
			const holderByEpoch = new Map<number, string>();
			const delayedWrites: Array<() => void> = [];
			let fault = 'storeUp';
			const clock = {nowMs: 0};

			const readClock = ({offsetMs, rate}: Bidder) => offsetMs + (clock.nowMs * rate);
			const enqueue = (bidder: Bidder, create: (nowMs: number) => EntryEvent) => {
				bidder.inbox.push(create);
			};

			const write = (record: LeaseRecord, expectedVersion: number) => {
				if (stored.version !== expectedVersion) {
					return false;
				}

				stored.version += 1;
				stored.record = record;
				return true;
			};

			const runEffect = (bidder: Bidder, effect: EntryEffect) => {
				if (effect.type === 'lease.read') {
					const result = fault === 'storeDown' ? {kind: 'failed'} as const : {kind: 'read', ...stored} as const;
					enqueue(bidder, timeMs => ({
						...effect, type: 'lease.readEnded', nowMs: timeMs, result,
					}));
				} else if (effect.type === 'lease.write') {
					const {dutyName, callId, record, expectedVersion} = effect;
					const reply = (result: Extract<EntryEvent, {type: 'lease.writeEnded'}>['result']) => {
						enqueue(bidder, timeMs => ({
							type: 'lease.writeEnded', nowMs: timeMs, dutyName, callId, result,
						}));
					};

					if (fault === 'storeDown') {
						reply({kind: 'unknown'});
					} else if (fault === 'replyLate') {
						delayedWrites.push(() => {
							write(record, expectedVersion);
						});
						reply({kind: 'unknown'});
					} else {
						const isWritten = write(record, expectedVersion);
						const knownResult = isWritten ? {kind: 'written', version: stored.version} as const : {kind: 'conflict'} as const;
						reply(fault === 'replyLost' ? {kind: 'unknown'} : knownResult);
					}
				}
			};

			const runInbox = (bidder: Bidder) => {
				for (let create = bidder.inbox.shift(); create !== undefined; create = bidder.inbox.shift()) {
					for (const effect of reduceEntry(bidder.state, create(readClock(bidder)))) {
						if (!('dutyName' in effect) || effect.dutyName === DUTY) {
							runEffect(bidder, effect);
						}
					}
				}
			};

			const advanceTime = (durationMs: number) => {
				const endMs = clock.nowMs + durationMs;
				while (clock.nowMs < endMs) {
					clock.nowMs += 100;
					for (const bidder of bidders.filter(each => !each.isPaused)) {
						runInbox(bidder);
						enqueue(bidder, timeMs => ({type: 'tick', nowMs: timeMs}));
						runInbox(bidder);
					}

					const holders = bidders.flatMap(bidder => {
						const held = findHeldDuty(bidder.state.lease, DUTY, readClock(bidder));
						return held === undefined ? [] : [{held, id: bidder.state.lease.processId}];
					});
					assert.ok(holders.length <= 1, 'two processes hold the duty');
					for (const {held, id} of holders) {
						assert.equal(holderByEpoch.get(held.epoch) ?? id, id, 'two processes held the duty under the same epoch');
						holderByEpoch.set(held.epoch, id);
						assert.equal(Math.max(...holderByEpoch.keys()), held.epoch, 'the duty is held under an older epoch');
					}
				}
			};

			for (const {kind, index, waitMs} of script) {
				const bidder = bidders[index]!;
				const changes: Readonly<Record<string, () => void>> = {
					pause() {
						bidder.isPaused = true;
					},
					resume() {
						bidder.isPaused = false;
					},
					restart() {
						bidders[index] = {...createBidder(index), offsetMs: bidder.offsetMs};
						Object.assign(bidders[index].state.lease, {processId: `p${index}.${clock.nowMs}`});
					},
					none() {
						delayedWrites.shift()?.();
					},
				};
				if (kind.startsWith('store') || kind.startsWith('reply')) {
					fault = kind;
				}

				changes[kind]?.();
				advanceTime(waitMs);
			}

			// The duty is held again within ten seconds after the store becomes available.
			fault = 'storeUp';
			bidders[0]!.isPaused = false;
			advanceTime(10_000);
			assert.ok(bidders.some(bidder => findHeldDuty(bidder.state.lease, DUTY, readClock(bidder)) !== undefined));
		}), {seed: SEED, numRuns: 300});
	});
});
