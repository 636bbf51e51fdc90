import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ClaimRecord, hashText} from '@damaskspool/shared';
import fc from 'fast-check';
import {type EntryEffect} from '../../reducer/entryEffects.js';
import {type EntryEvent} from '../../reducer/entryEvents.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createAttributes, createReadyState} from '../../request/__tests__/requestFixtures.js';
import {type SegmentReply, type StoredSegment} from '../claimMessages.js';
import {createClaimState} from '../claimState.js';

const SEED = 20_261_204;
/** Claims of the same shard, which share one log. */
const CLAIM_IDS = ['1', '2', '3'].map(digit => `00000000${digit.repeat(56)}`);

/** Outcome of a store call: it succeeds, its reply is lost, or the call itself is lost. */
const storeOutcomes = fc.constantFrom('done', 'done', 'replyLost', 'lost');
const steps = fc.oneof(
	{
		weight: 3, arbitrary: fc.record({
			type: fc.constant('ask' as const), owner: fc.nat(2), claim: fc.nat(2), request: fc.nat(3),
		}),
	},
	{weight: 5, arbitrary: fc.record({type: fc.constant('store' as const), index: fc.nat(5), outcome: storeOutcomes})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('time' as const), gapMs: fc.nat(250)})},
);

/** Creates three entries that each believe that they own the shard, and a store whose calls end in any order. */
function createSimulation() {
	const owners = ['x', 'y', 'z'].map(processId => ({...createReadyState(), claims: createClaimState(processId)}));
	const log = new Map<number, StoredSegment>();
	const pending: Array<{owner: number; effect: EntryEffect}> = [];
	const requestedRecords = new Map<string, ClaimRecord>();
	const grantedTo = new Map<string, Set<string>>();
	let nowMs = 1;
	let calls = 0;

	const dispatch = (owner: number, event: EntryEvent) => {
		for (const effect of reduceEntry(owners[owner]!, event)) {
			if (effect.type === 'claim.reply' && effect.verdict.type === 'granted') {
				const {claimId, requestId} = requestedRecords.get(effect.callId)!;
				grantedTo.set(claimId, (grantedTo.get(claimId) ?? new Set()).add(requestId));
			} else if (effect.type === 'claim.readLog' || effect.type === 'claim.writeSegment') {
				pending.push({owner, effect});
			}
		}
	};

	const writeSegment = (effect: Extract<EntryEffect, {type: 'claim.writeSegment'}>): SegmentReply => {
		const found = log.get(effect.sequence);
		if (found === undefined) {
			log.set(effect.sequence, {sequence: effect.sequence, version: effect.sequence, segment: effect.segment});
			return {type: 'written', version: effect.sequence};
		}

		return found.segment.nonce === effect.segment.nonce ? {type: 'written', version: found.version} : {type: 'conflict', found};
	};

	const runStore = (index: number, outcome: string) => {
		const [call] = pending.splice(index % Math.max(1, pending.length), 1);
		if (call === undefined) {
			return;
		}

		const {owner, effect} = call;
		if (effect.type === 'claim.readLog') {
			const segments = outcome === 'done' ? [...log.values()] : undefined;
			dispatch(owner, {
				type: 'claim.logRead', nowMs, shard: effect.shard, segments,
			});
		} else if (effect.type === 'claim.writeSegment') {
			const reply = outcome === 'lost' ? undefined : writeSegment(effect);
			dispatch(owner, {
				type: 'claim.segmentReplied', nowMs, shard: effect.shard, sequence: effect.sequence,
				reply: outcome === 'done' && reply !== undefined ? reply : {type: 'unavailable'},
			});
		}
	};

	return {
		grantedTo,
		runStore,
		requestClaim(owner: number, claim: number, request: number) {
			calls += 1;
			const record: ClaimRecord = {
				claimId: CLAIM_IDS[claim]!, requestId: `r${request}`, bodyDigest: 'd', status: 'begun',
			};
			requestedRecords.set(String(calls), record);
			dispatch(owner, {
				type: 'claim.asked', nowMs, callId: String(calls), record,
			});
		},
		passTime(gapMs: number) {
			nowMs += gapMs;
			for (const owner of owners.keys()) {
				dispatch(owner, {type: 'tick', nowMs});
				dispatch(owner, {type: 'claim.flushDue', nowMs, shard: 0});
			}
		},
	};
}

describe('claims', () => {
	it('are granted to one request only, despite concurrent owners and lost replies', () => {
		let grants = 0;
		fc.assert(fc.property(fc.array(steps, {minLength: 60, maxLength: 120}), list => {
			const simulation = createSimulation();
			for (const step of list) {
				if (step.type === 'ask') {
					simulation.requestClaim(step.owner, step.claim, step.request);
				} else if (step.type === 'store') {
					simulation.runStore(step.index, step.outcome);
				} else {
					simulation.passTime(step.gapMs);
				}
			}

			for (const requests of simulation.grantedTo.values()) {
				grants += 1;
				assert.equal(requests.size, 1);
			}
		}), {seed: SEED, numRuns: 1000});
		assert.ok(grants > 500, `${grants} grants`);
	});

	it('hold a request until its owner has recorded it, and refuse it as not run if the claim is unavailable', () => {
		const attributes = createAttributes({path: '/permits', modelId: undefined, idempotencyKey: 'k'});
		const outcomes = [
			[{type: 'granted'}, 'attempt.send', undefined],
			[{type: 'unavailable'}, 'request.refuse', 'refused-not-run'],
			[{type: 'duplicate'}, 'request.refuse', 'refused-unknown'],
			[{type: 'answered', answer: {status: 200, contentType: 'a', body: ''}}, 'request.replay', undefined],
		] as const;
		for (const [verdict, type, outcome] of outcomes) {
			const state = createReadyState();
			const [ask, ...others] = reduceEntry(state, {type: 'request.received', nowMs: 1, attributes});
			assert.ok(ask?.type === 'claim.ask' && others.length === 0);
			assert.notEqual(ask.record.claimId, hashText('k'));
			const effects = reduceEntry(state, {
				type: 'claim.decided', nowMs: 2, requestId: 'r', record: ask.record, verdict,
			});
			assert.equal(effects.at(-1)?.type, type);
			const effect = effects.at(-1);
			assert.equal(effect?.type === 'request.refuse' ? effect.failure.outcome : undefined, outcome);
		}
	});

	it('are released if they are granted after their request ended', () => {
		const state = createReadyState();
		const attributes = createAttributes({path: '/permits', modelId: undefined, idempotencyKey: 'k'});
		const [ask] = reduceEntry(state, {type: 'request.received', nowMs: 1, attributes});
		assert.ok(ask?.type === 'claim.ask');
		reduceEntry(state, {type: 'caller.disconnected', nowMs: 2, requestId: 'r'});
		const [effect] = reduceEntry(state, {
			type: 'claim.decided', nowMs: 3, requestId: 'r', record: ask.record, verdict: {type: 'granted'},
		});
		assert.ok(effect?.type === 'claim.settle' && effect.record.status === 'released');
	});
});
