import {type TargetState} from '@damaskspool/shared';
import {setup, transition} from 'xstate';

/** What can happen to a target. */
export type TargetMachineEvent
	/** The target reports that it serves, with what it was given to serve. */
	= | {readonly type: 'ready'}
	/** The target answers but has no model yet. */
		| {readonly type: 'load'}
	/** The target reports that it is out for a role change. */
		| {readonly type: 'unready'}
	/** An accepted order takes the target out of service. */
		| {readonly type: 'drain'}
	/** Nothing runs at the target any more, and its role is changed. */
		| {readonly type: 'change'}
	/** The order ended, done or given up. */
		| {readonly type: 'return'}
	/** The target is to be stopped: no new work from here on. */
		| {readonly type: 'leave'}
	/** Nothing of the target is left. */
		| {readonly type: 'vanish'};

/** Carries types to xstate; its value is never read. */
const TYPE_ONLY: unknown = undefined;

/**
 * Life of a target, as its sidecar sees it. Only `serving` takes new work, and
 * a role is changed, or a target stopped, only by way of `draining` or `leaving`.
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

/**
 * Moves the life of a target on. An event that means nothing in the present
 * state leaves it as it is.
 *
 * @param state - present state
 * @param event - what happened
 * @returns next state
 */
export function advanceTarget(state: TargetState, event: TargetMachineEvent): TargetState {
	const [snapshot] = transition(targetMachine, targetMachine.resolveState({value: state}), event);
	return snapshot.value;
}
