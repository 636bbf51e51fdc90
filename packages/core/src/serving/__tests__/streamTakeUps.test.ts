/**
 * An entry that was cut off or stood still takes up streams of other entries. What it knew of versions before may be old,
 * so the store is read after the request arrived.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toStoreVersion} from '@damaskspool/shared';
import {type ServingEffect, type ServingEvent} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {createFleetCall, createFleetState, createFleetTarget} from './createTestFleet.js';
import {createTestReport} from './createTestReport.js';

const SERVICE = 'plain';
/** Long after the start, when the entry knows all versions of the past. */
const NOW_MS = 100_000;
const createRead = (versions: readonly string[], revision = 5): Extract<ServingEvent, {type: 'versions.readEnded'}>['result'] =>
	({kind: 'read', version: toStoreVersion({era: 1, revision})!, stored: {era: 1, services: {[SERVICE]: versions}}});

const listCalls = (effects: readonly ServingEffect[]) => effects.flatMap(({type}) => type.startsWith('versions.') || type === 'call.refuse' || type === 'attempt.send' ? [type] : []);

/** Starts an entry with targets of version v1, which the store confirmed and a peer reported just before now. */
function startEntry() {
	const state = createFleetState('entry', 1, undefined, {hasVersionHistory: true});
	const dispatch = (event: ServingEvent) => reduceServing(state, event);
	dispatch({
		type: 'targets.changed', targets: [createFleetTarget('target1', {softwareVersion: 'v1'})], removed: [], isComplete: true, nowMs: 0,
	});
	dispatch({type: 'versions.readEnded', result: createRead(['v1']), nowMs: 5});
	dispatch({type: 'targets.confirmed', nowMs: NOW_MS - 100});
	dispatch({
		type: 'peer.reported', wallMs: 0, nowMs: NOW_MS - 50, report: createTestReport({entryId: 'peer', sequence: 1, storeEra: 1}),
	});
	const takeUp = (callId: number, nowMs: number) => dispatch(createFleetCall(callId, {kind: 'stream', requestId: `again${callId}`, resumes: `stream${callId}`}, nowMs));
	const endRead = (result: ReturnType<typeof createRead>, nowMs: number) => dispatch({type: 'versions.readEnded', result, nowMs});
	return {
		state, dispatch, takeUp, endRead,
	};
}

describe('a request that takes up a stream of which nobody has told the entry', () => {
	it('waits for the store, and goes on if one version is stored', () => {
		const {takeUp, endRead} = startEntry();
		assert.deepEqual(listCalls(takeUp(1, NOW_MS)), ['versions.read']);
		assert.deepEqual(listCalls(endRead(createRead(['v1']), NOW_MS + 5)), ['attempt.send']);
	});

	it('is refused if a version was stored that the entry has not heard of', () => {
		const {takeUp, endRead} = startEntry();
		takeUp(1, NOW_MS);
		assert.deepEqual(listCalls(endRead(createRead(['v1', 'v2'], 9), NOW_MS + 5)), ['call.refuse']);
	});

	it('is not answered by a read that began before it arrived', () => {
		const {takeUp, endRead} = startEntry();
		takeUp(1, NOW_MS);
		assert.deepEqual(listCalls(takeUp(2, NOW_MS + 3)), []);
		assert.deepEqual(listCalls(endRead(createRead(['v1']), NOW_MS + 5)), ['attempt.send', 'versions.read']);
		assert.deepEqual(listCalls(endRead(createRead(['v1', 'v2'], 9), NOW_MS + 10)), ['call.refuse']);
	});

	it('shares a read with all that came before it', () => {
		const {takeUp, endRead} = startEntry();
		takeUp(1, NOW_MS);
		const others = [2, 3, 4, 5].flatMap(callId => listCalls(takeUp(callId, NOW_MS + callId)));
		assert.deepEqual(others, []);
		endRead(createRead(['v1']), NOW_MS + 10);
		assert.deepEqual(listCalls(endRead(createRead(['v1']), NOW_MS + 15)), ['attempt.send', 'attempt.send', 'attempt.send', 'attempt.send']);
	});

	it('is refused at once while several versions are stored, and after a read that failed', () => {
		const {takeUp, endRead} = startEntry();
		takeUp(1, NOW_MS);
		assert.deepEqual(listCalls(endRead({kind: 'failed'}, NOW_MS + 5)), ['call.refuse']);
		assert.deepEqual(listCalls(takeUp(2, NOW_MS + 10)), ['call.refuse']);
		const mixed = startEntry();
		mixed.takeUp(1, NOW_MS);
		mixed.endRead(createRead(['v1', 'v2'], 9), NOW_MS + 5);
		assert.deepEqual(listCalls(mixed.takeUp(2, NOW_MS + 10)), ['call.refuse']);
	});

	it('is refused soon if the store stays silent', () => {
		const {dispatch, takeUp} = startEntry();
		takeUp(1, NOW_MS);
		assert.deepEqual(listCalls(dispatch({type: 'tick', wallMs: 0, nowMs: NOW_MS + 500})), []);
		assert.deepEqual(listCalls(dispatch({type: 'tick', wallMs: 0, nowMs: NOW_MS + 750})), ['call.refuse']);
	});

	it('is forgotten when its caller leaves', () => {
		const {state, dispatch, takeUp, endRead} = startEntry();
		takeUp(1, NOW_MS);
		dispatch({type: 'call.disconnected', callId: 1, nowMs: NOW_MS + 2});
		assert.deepEqual([listCalls(endRead(createRead(['v1']), NOW_MS + 5)), state.takeUps.size], [[], 0]);
	});

	it('goes on without a read if a peer has told where it began', () => {
		const {state, takeUp} = startEntry();
		state.streamVersions.record('stream1', 'v1', {isShared: false, nowMs: NOW_MS});
		assert.deepEqual(listCalls(takeUp(1, NOW_MS)), ['attempt.send']);
	});
});
