import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {reduceServing} from '../servingReducer.js';
import {
	addPrompt, applyEngineConfiguration, createFleetCall, createFleetState, createFleetTarget,
} from './createTestFleet.js';
import {hasTwoVersions, simulateStreams} from './simulateStreams.js';

describe('streams while targets are replaced by others of another software version', () => {
	// Lost reports and cuts leave gaps of knowledge, in which a stream must rather end. Users allow two such streams; none is needed.
	it('hold events of one version, whatever is lost, killed and cut off', () => {
		const options = fc.record({
			entryCount: fc.constantFrom(1, 2, 4),
			reportLoss: fc.constantFrom(0, 0.05, 0.2),
			reportDelayMs: fc.constantFrom(5, 100),
			watchDelayMs: fc.constantFrom(10, 800),
			replacementGapMs: fc.constantFrom(400, 2000),
			restartGapMs: fc.constantFrom(800, 4000, 1e9),
			storeCutGapMs: fc.constantFrom(3000, 1e9),
			fullCutGapMs: fc.constantFrom(3000, 1e9),
			seed: fc.nat(100_000),
		});
		fc.assert(fc.property(options, load => {
			assert.deepEqual(simulateStreams(load).streams.filter(stream => hasTwoVersions(stream)), []);
		}), {numRuns: 60, seed: 30, endOnFailure: true});
	});

	// Guards against an entry that goes by what it knew before it was cut off or stood still, while callers reach it.
	it('hold events of one version at entries that are out of step and still reached', () => {
		const options = fc.record({
			entryCount: fc.constantFrom(2, 3),
			reportLoss: fc.constantFrom(0, 0.2),
			reportDelayMs: fc.constantFrom(5, 100),
			watchDelayMs: fc.constantFrom(10, 800),
			replacementGapMs: fc.constantFrom(400, 2000, 6000),
			restartGapMs: fc.constantFrom(4000, 1e9),
			storeCutGapMs: fc.constantFrom(3000, 1e9),
			fullCutGapMs: fc.constantFrom(1000, 3000, 1e9),
			freezeGapMs: fc.constantFrom(1000, 3000, 1e9),
			versionCount: fc.constantFrom(2, 3),
			seed: fc.nat(100_000),
		});
		fc.assert(fc.property(options, load => {
			assert.deepEqual(simulateStreams({...load, isCutReached: true}).streams.filter(stream => hasTwoVersions(stream)), []);
		}), {numRuns: 150, seed: 42, endOnFailure: true});
	});

	it('go on when their entries are killed, at most entries that live', () => {
		const {streams} = simulateStreams({
			entryCount: 4, reportLoss: 0.01, reportDelayMs: 40, watchDelayMs: 50, replacementGapMs: 3000, restartGapMs: 1000, storeCutGapMs: 1e9, fullCutGapMs: 1e9, seed: 5,
		});
		const takenUp = streams.filter(({wasTakenUp}) => wasTakenUp);
		const whole = takenUp.filter(({isWhole}) => isWhole);
		assert.ok(takenUp.length > 50 && whole.length > takenUp.length / 2, `${whole.length} of ${takenUp.length} streams went on`);
	});

	it('are told to peers twice when a second version appears while they run', () => {
		const state = createFleetState('entry', 1, [createFleetTarget('target1', {softwareVersion: 'v1'})]);
		reduceServing(state, createFleetCall(1, {kind: 'stream', requestId: 'stream'}, 0));
		reduceServing(state, {
			type: 'attempt.began', callId: 1, attemptId: 1, wallMs: 10, nowMs: 10,
		});
		assert.deepEqual(state.streamVersions.takeUpdates(), []);
		const effects = reduceServing(state, {
			type: 'targets.changed', targets: [createFleetTarget('target2', {softwareVersion: 'v2'})], removed: [], isComplete: false, nowMs: 20,
		});
		assert.deepEqual(effects.flatMap(effect => effect.type === 'decision.record' && effect.name === 'service.versionAdded' ? [effect.detail] : []), [
			{softwareVersion: 'v2', known: ['v1', 'v2'], toldBy: 'store'},
		]);
		for (let count = 0; count < 2; count += 1) {
			assert.deepEqual(state.streamVersions.takeUpdates().map(([softwareVersion, keys]) => [softwareVersion, keys.length]), [['v1', 1]]);
			reduceServing(state, {type: 'tick', wallMs: 30, nowMs: 30});
		}

		assert.deepEqual(state.streamVersions.takeUpdates(), []);
	});

	// Guards against streams of which callers have a part and that are refused as readily as new ones.
	it('wait longer for a target than new ones before they are refused', () => {
		const state = createFleetState('entry', 1, [createFleetTarget('target1', {stage: 'decode'})]);
		applyEngineConfiguration(state);
		state.placement.targets.get('target1')!.localWork.prefillMs = 600;
		state.streamVersions.record('stream', 'v1', {isShared: false, nowMs: 0});
		const send = (callId: number, resumes?: string) => {
			const event = createFleetCall(callId, {kind: 'stream', requestId: `request${callId}`, ...(resumes !== undefined && {resumes})}, 0);
			return reduceServing(state, addPrompt(event, 2000)).map(({type}) => type);
		};

		assert.ok(send(1).includes('call.refuse'));
		assert.ok(send(2, 'stream').includes('attempt.send'));
	});

	// Guards against the absence of peers taken as evidence of a single version: after all entries were killed, nobody is left who knows.
	it('are not taken up by an entry that has just started and knows of no peer', () => {
		for (const startedAgoMs of [50, 1000, 3000, 9000]) {
			const state = createFleetState('entry', 1, [createFleetTarget('target1', {softwareVersion: 'v2'})]);
			reduceServing(state, {type: 'peers.listed', peerCount: 0, nowMs: 10});
			reduceServing(state, {type: 'targets.confirmed', nowMs: startedAgoMs - 10});
			const effects = reduceServing(state, createFleetCall(1, {kind: 'stream', requestId: 'again', resumes: 'unknown'}, startedAgoMs));
			assert.deepEqual(effects.filter(({type}) => type === 'attempt.send'), [], `${startedAgoMs} ms after its start`);
		}
	});

	it('are not taken up if another version may have been added while the entry heard of no targets', () => {
		const resume = (heardAtMs: number, nowMs: number, suspendedMs = 0) => {
			const state = createFleetState('entry', 1, [createFleetTarget('target1', {softwareVersion: 'v1'})]);
			reduceServing(state, {type: 'peers.listed', peerCount: 0, nowMs: heardAtMs});
			reduceServing(state, {type: 'targets.confirmed', nowMs: heardAtMs});
			if (suspendedMs > 0) {
				reduceServing(state, {type: 'process.suspended', suspendedMs, nowMs: heardAtMs});
			}

			reduceServing(state, {type: 'tick', wallMs: nowMs, nowMs});
			return reduceServing(state, createFleetCall(1, {kind: 'stream', requestId: 'again', resumes: 'unknown'}, nowMs)).some(({type}) => type === 'attempt.send');
		};

		assert.deepEqual([resume(20_000, 21_500), resume(20_000, 23_000), resume(20_000, 21_500, 3000)], [true, false, false]);
	});
});
