/** Load: calls of all timeouts that arrive at any time of a planned stop. Each that reaches a target must be over before the entry ends. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toStoreVersion} from '@damaskspool/shared';
import {type ServingEffect, type ServingEvent} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {createFleetCall, createFleetState, createFleetTarget} from './createTestFleet.js';

const SEED = 46;
const STOP_AT_MS = 50_000;
const LEFT_MS = 7300;
const ENDS_AT_MS = STOP_AT_MS + LEFT_MS;
const VERSIONS = {kind: 'read', version: toStoreVersion({era: 1, revision: 5})!, stored: {era: 1, services: {plain: ['v1']}}} as const;

/** Starts an entry with a target; `timeoutMs` is that of its routes. */
function startEntry(timeoutMs: number) {
	const state = createFleetState('entry', 1, undefined, {hasVersionHistory: true});
	const {configuration} = state;
	state.configuration = configuration && {...configuration, routes: configuration.routes.map(route => ({...route, timeoutMs}))};
	const dispatch = (event: ServingEvent) => reduceServing(state, event);
	dispatch({
		type: 'targets.changed', targets: [createFleetTarget('target1', {softwareVersion: 'v1'})], removed: [], isComplete: true, nowMs: 0,
	});
	dispatch({type: 'versions.readEnded', result: VERSIONS, nowMs: 5});
	return {state, dispatch};
}

const createCall = (callId: number, {kind, deadlineMs, nowMs, resumes}: {kind: 'safe' | 'stream'; deadlineMs: number; nowMs: number; resumes?: string}): ServingEvent => {
	const event = createFleetCall(callId, {kind, requestId: `request${callId}`, ...(resumes !== undefined && {resumes})}, nowMs);
	return event.type === 'call.arrived' ? {...event, request: {...event.request, deadlineMs}} : event;
};

const findStart = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'call.startTimeout');
const findRefusal = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'call.refuse');
const requestStop = {
	type: 'stop.requested', signal: 'SIGTERM', endsAtMs: ENDS_AT_MS, nowMs: STOP_AT_MS,
} as const;

describe('an entry that stops', () => {
	it('takes a call exactly if its timeout ends before the entry does, and says of the others that they did not run', () => {
		fc.assert(fc.property(fc.record({
			timeoutMs: fc.integer({min: 100, max: 12_000}),
			deadlineMs: fc.integer({min: 100, max: 12_000}),
			afterMs: fc.integer({min: 0, max: LEFT_MS}),
			kind: fc.constantFrom('safe' as const, 'stream' as const),
		}), ({timeoutMs, deadlineMs, afterMs, kind}) => {
			const {dispatch} = startEntry(timeoutMs);
			dispatch(requestStop);
			const effects = dispatch(createCall(1, {kind, deadlineMs, nowMs: STOP_AT_MS + afterMs}));
			const mayEnd = afterMs + Math.min(timeoutMs, deadlineMs) <= LEFT_MS;
			assert.equal(findStart(effects) !== undefined, mayEnd);
			const refusal = findRefusal(effects);
			assert.ok(mayEnd || (refusal?.code === 'leaving' && refusal.outcome === 'refused-not-run' && refusal.retryAfterMs !== undefined));
		}), {seed: SEED});
	});

	it('checks a call again that it held until the store was read', () => {
		const {dispatch} = startEntry(5000);
		dispatch(createCall(1, {
			kind: 'stream', deadlineMs: 5000, nowMs: STOP_AT_MS - 10, resumes: 'stream1',
		}));
		dispatch({...requestStop, endsAtMs: STOP_AT_MS + 4000});
		const effects = dispatch({type: 'versions.readEnded', result: VERSIONS, nowMs: STOP_AT_MS + 10});
		assert.equal(findRefusal(effects)?.code, 'leaving');
		assert.equal(effects.some(({type}) => type === 'attempt.send'), false);
	});

	it('answers every call that is not over when it ends, with "not run" only where that is proved', () => {
		const {state, dispatch} = startEntry(12_000);
		dispatch(createCall(1, {kind: 'safe', deadlineMs: 12_000, nowMs: STOP_AT_MS - 100}));
		dispatch(createCall(2, {
			kind: 'stream', deadlineMs: 12_000, nowMs: ENDS_AT_MS - 5, resumes: 'stream1',
		}));
		dispatch(requestStop);
		const refusals = dispatch({type: 'stop.graceEnded', nowMs: ENDS_AT_MS}).flatMap(effect => effect.type === 'call.refuse' ? [[effect.callId, effect.outcome] as const] : []);
		assert.deepEqual(new Map(refusals), new Map([[1, 'refused-unknown'], [2, 'refused-not-run']]));
		assert.equal(state.calls.size + state.takeUps.size, 0);
	});
});
