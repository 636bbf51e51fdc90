import {type TargetState} from '@damaskspool/shared';
import {setup, transition} from 'xstate';

/** Events in a target's lifecycle. */
export type TargetMachineEvent
	/** The target reports that it serves; an engine then has at least one model. */
	= | {readonly type: 'ready'}
	/** The target responds but has no model yet. */
		| {readonly type: 'load'}
	/** The target reports that it is out of service for a role change. */
		| {readonly type: 'unready'}
	/** An accepted order takes the target out of service. */
		| {readonly type: 'drain'}
	/** The target is drained and its role change begins. */
		| {readonly type: 'change'}
	/** The order ended: applied, failed or dropped. */
		| {readonly type: 'return'}
	/** The target is about to be stopped and admits no new work. */
		| {readonly type: 'leave'}
	/** The target no longer exists. */
		| {readonly type: 'vanish'};

/** Provides the event type to xstate. Its value is never read. */
const TYPE_ONLY: unknown = undefined;

/**
 * Lifecycle of a target as its sidecar sees it. Only `serving` admits new work. An order changes a role only after
 * `draining`, and a target ends only after `leaving`.
 */
export const targetMachine = setup({
	types: {events: TYPE_ONLY as TargetMachineEvent},
}).createMachine({
	id: 'target',
	initial: 'starting',
	states: {
		starting: {on: {ready: 'serving', load: 'loading', leave: 'leaving'}},
		loading: {on: {ready: 'serving', drain: 'draining', leave: 'leaving'}},
		serving: {on: {drain: 'draining', unready: 'changingRole', leave: 'leaving'}},
		draining: {on: {change: 'changingRole', return: 'serving', leave: 'leaving'}},
		changingRole: {on: {ready: 'serving', return: 'serving', leave: 'leaving'}},
		leaving: {on: {vanish: 'gone'}},
		gone: {type: 'final'},
	},
});

/** Returns the state after an event. An event that does not apply to the current state has no effect. */
export function advanceTarget(state: TargetState, event: TargetMachineEvent): TargetState {
	const [snapshot] = transition(targetMachine, targetMachine.resolveState({value: state}), event);
	return snapshot.value;
}
