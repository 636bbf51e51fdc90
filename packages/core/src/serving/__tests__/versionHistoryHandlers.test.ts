import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toEraRevision, toStoreVersion} from '@damaskspool/shared';
import {type StoredVersions, UNKNOWN_VERSION} from '../../membership/versionHistory.js';
import {type ServingEffect, type ServingEvent} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {CONTROL_DUTY, type ServingState} from '../servingState.js';
import {createFleetCall, createFleetState, createFleetTarget} from './createTestFleet.js';
import {createTestReport} from './createTestReport.js';

const SERVICE = 'plain';
const RETENTION_MS = 60_000;
const v1 = createFleetTarget('target1', {softwareVersion: 'v1'});
const v2 = createFleetTarget('target2', {softwareVersion: 'v2'});

const createStored = (versions: readonly string[], era = 1): StoredVersions => ({era, services: {[SERVICE]: versions}});

const createRead = (versions: readonly string[], revision = 5) => ({kind: 'read', version: toStoreVersion({era: 1, revision})!, stored: createStored(versions)} as const);

/** Starts an entry that the store lists the given targets to, and answers its first read with the given object. */
function startEntry(targets = [v1], result: Extract<ServingEvent, {type: 'versions.readEnded'}>['result'] = createRead(['v1']), storeEra = 1) {
	const state = createFleetState('entry', 1, undefined, {hasVersionHistory: true});
	const dispatch = (event: ServingEvent) => reduceServing(state, event);
	dispatch({
		type: 'store.eraChanged', era: storeEra, wallMs: 0, nowMs: 0,
	});
	const first = dispatch({
		type: 'targets.changed', targets, removed: [], isComplete: true, nowMs: 0,
	});
	return {
		state, dispatch, first, effects: dispatch({type: 'versions.readEnded', result, nowMs: 5}),
	};
}

const addTarget = (dispatch: (event: ServingEvent) => readonly ServingEffect[], nowMs: number) => dispatch({
	type: 'targets.changed', targets: [v2], removed: [], isComplete: false, nowMs,
});

const listWrites = (effects: readonly ServingEffect[]) => effects.flatMap(effect => effect.type === 'versions.write' ? [effect.stored.services[SERVICE]] : []);
const listCalls = (effects: readonly ServingEffect[]) => effects.flatMap(({type}) => type.startsWith('versions.') ? [type] : []);

/** Sends new streams and returns the versions that they are sent to. Each stays at its target, so that the next one goes elsewhere. */
function beginStreams(state: ServingState, count: number, nowMs: number): ReadonlySet<string> {
	const effects = Array.from({length: count}, (_, index) => reduceServing(state, createFleetCall(1000 + nowMs + index, {kind: 'stream', requestId: `new${nowMs}.${index}`}, nowMs))).flat();
	return new Set(effects.flatMap(effect => effect.type === 'attempt.send' ? [effect.target.softwareVersion] : []));
}

/** Reports what the store holds after the holder of the duty has removed a version. */
function reportStored(dispatch: (event: ServingEvent) => unknown, {version, versions, storeEra}: {version: number; versions: readonly string[]; storeEra: number}, nowMs: number): void {
	dispatch({
		type: 'peer.reported', wallMs: 0, nowMs, report: createTestReport({
			entryId: 'peerA', sequence: 1, storeEra, versionHistory: [[version, true, [[SERVICE, versions]]]],
		}),
	});
}

/** Takes up a stream that the entry does not know. The store holds what the entry knows of it. Returns whether the stream goes on. */
function mayResume(state: ServingState, nowMs: number): boolean {
	const {storeVersion, recorded, isCertain} = state.versionHistory;
	const {era} = toEraRevision(storeVersion);
	const effects = [...reduceServing(state, createFleetCall(nowMs, {kind: 'stream', requestId: `again${nowMs}`, resumes: 'unknown'}, nowMs))];
	if (effects.some(({type}) => type === 'versions.read')) {
		const stored = createStored([...recorded.get(SERVICE) ?? []], isCertain ? era : era - 1);
		effects.push(...reduceServing(state, {type: 'versions.readEnded', result: {kind: 'read', version: storeVersion, stored}, nowMs: nowMs + 5}));
	}

	return effects.some(({type}) => type === 'attempt.send');
}

describe('the software versions that the store keeps', () => {
	it('are read once, and nothing is called while they stay as they are', () => {
		const {state, dispatch, first, effects} = startEntry();
		assert.deepEqual(listCalls(first), ['versions.read']);
		const later = Array.from({length: 40}, (_, tick) => dispatch({type: 'tick', wallMs: 0, nowMs: 250 * tick})).flat();
		assert.deepEqual(listCalls([...effects, ...later]), []);
		dispatch({type: 'targets.confirmed', nowMs: 9900});
		assert.ok(mayResume(state, 10_000));
	});

	it('are written before the first stream is sent to a target of another version', () => {
		const {state, dispatch} = startEntry();
		assert.deepEqual(listWrites(addTarget(dispatch, 100)), [['v1', 'v2']]);
		assert.deepEqual(beginStreams(state, 4, 110), new Set(['v1']));
		dispatch({type: 'versions.writeEnded', result: {kind: 'written', version: toStoreVersion({era: 1, revision: 9})!, stored: createStored(['v1', 'v2'])}, nowMs: 120});
		assert.deepEqual(beginStreams(state, 10, 130), new Set(['v1', 'v2']));
	});

	it('are read again after a write without an answer, which is not repeated if it took effect', () => {
		const {state, dispatch} = startEntry();
		addTarget(dispatch, 100);
		const failed = dispatch({type: 'versions.writeEnded', result: {kind: 'unknown'}, nowMs: 1300});
		assert.deepEqual([listCalls(failed), beginStreams(state, 4, 1310)], [[], new Set(['v1'])]);
		assert.deepEqual(listCalls(dispatch({type: 'tick', wallMs: 0, nowMs: 2000})), ['versions.read']);
		const read = dispatch({type: 'versions.readEnded', result: createRead(['v1', 'v2'], 9), nowMs: 2010});
		assert.deepEqual([listCalls(read), beginStreams(state, 10, 2020).has('v2')], [[], true]);
	});

	it('are taken from a peer, and written by the entry that ranks first', () => {
		const {state, dispatch} = startEntry();
		const peers = ['peerA', 'peerB', 'peerC', 'peerD'];
		const report = (entryId: string, version: number, versions: readonly string[]) => dispatch({
			type: 'peer.reported', wallMs: 0, nowMs: 90, report: createTestReport({
				entryId, sequence: version, storeEra: 1, versionHistory: [[toStoreVersion({era: 1, revision: version})!, true, [[SERVICE, versions]]]],
			}),
		});
		for (const peer of peers) {
			report(peer, 5, ['v1']);
		}

		assert.deepEqual(listWrites(addTarget(dispatch, 100)), []);
		assert.deepEqual(beginStreams(state, 4, 110), new Set(['v1']));
		report(peers[0]!, 9, ['v1', 'v2']);
		assert.deepEqual(beginStreams(state, 10, 120), new Set(['v1', 'v2']));
		assert.deepEqual(listCalls(dispatch({type: 'tick', wallMs: 0, nowMs: 5000})), []);
	});

	it('are not known after the store came back from an older copy, until streams of before can no longer be taken up', () => {
		const {state, dispatch, effects} = startEntry([v1], {kind: 'read', version: toStoreVersion({era: 2, revision: 5})!, stored: createStored(['v1'], 1)}, 2);
		assert.deepEqual([listWrites(effects), mayResume(state, 50)], [[], false]);
		assert.deepEqual(listWrites(dispatch({type: 'tick', wallMs: 0, nowMs: 2500})), [['v1', UNKNOWN_VERSION]]);
		const stored = createStored(['v1', UNKNOWN_VERSION], 2);
		dispatch({type: 'versions.writeEnded', result: {kind: 'written', version: toStoreVersion({era: 2, revision: 6})!, stored}, nowMs: 2510});
		for (const nowMs of [2600, 15_000, 62_000]) {
			dispatch({type: 'tick', wallMs: 0, nowMs});
			dispatch({type: 'targets.confirmed', nowMs});
			assert.equal(mayResume(state, nowMs), false, `${nowMs} ms`);
		}

		reportStored(dispatch, {version: toStoreVersion({era: 2, revision: 7})!, versions: ['v1'], storeEra: 2}, 62_500);
		assert.ok(mayResume(state, 62_510));
	});

	// Guards against a version that counts as gone because this entry has not seen its targets lately: it may have missed their return.
	it('count as served until they are removed from the store, however long their last target has been gone', () => {
		const {state, dispatch} = startEntry([v2], createRead(['v1', 'v2']));
		for (const nowMs of [50, 7000, 17_000, 19_000, 59_000]) {
			dispatch({type: 'targets.confirmed', nowMs});
			dispatch({type: 'tick', wallMs: 0, nowMs});
			assert.equal(mayResume(state, nowMs), false, `${nowMs} ms`);
		}

		reportStored(dispatch, {version: toStoreVersion({era: 1, revision: 9})!, versions: ['v2'], storeEra: 1}, 61_000);
		assert.ok(mayResume(state, 61_010));
	});

	it('are not known while the object is malformed or cannot be read', () => {
		for (const result of [{kind: 'failed'}, {kind: 'read', version: toStoreVersion({era: 1, revision: 5})!, stored: undefined}] as const) {
			const {state} = startEntry([v1], result);
			assert.equal(mayResume(state, 50), false);
		}
	});

	it('are removed by the holder of the duty once no stream of theirs can be taken up', () => {
		const {state, dispatch} = startEntry([v2], createRead(['v1', 'v2']));
		const tick = (nowMs: number) => {
			dispatch({type: 'targets.confirmed', nowMs});
			return listWrites(dispatch({type: 'tick', wallMs: 0, nowMs}));
		};

		state.lease.duties.get(CONTROL_DUTY)!.held = {epoch: 1, expiresAtMs: 10 * RETENTION_MS};
		assert.deepEqual([tick(RETENTION_MS - 500), tick(RETENTION_MS + 500)], [[], [['v2']]]);
	});
});
