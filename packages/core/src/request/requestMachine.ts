import {setup} from 'xstate';

/** Context of the request state machine. */
export type RequestContext = {
	readonly isRepeatable: boolean;
};

/** Events of an accepted request. */
export type RequestMachineEvent
	/** A target was chosen and an attempt is sent to it. */
	= | {readonly type: 'attempt'}
	/** The sidecar or target started to respond. */
		| {readonly type: 'answer'}
	/** The attempt failed and certainly did not run. */
		| {readonly type: 'failNotRun'}
	/** The attempt failed and may have run. */
		| {readonly type: 'failUnknown'}
	/** An earlier request with the same claim is running or has run, and its response is unknown. */
		| {readonly type: 'duplicate'}
	/** An earlier request with the same claim has run, and its stored response is replayed. */
		| {readonly type: 'replay'}
	/** No further attempt is possible: no target, retry budget, attempt or time is left, or the claim could not be recorded. */
		| {readonly type: 'exhaust'}
	/** The complete response was forwarded to the caller. */
		| {readonly type: 'finish'}
	/** The caller disconnected. */
		| {readonly type: 'abandon'};

/** States of a request. The last four are final. */
export type RequestMachineState
	= | 'choosing' | 'attempting' | 'answering' | 'retrying'
		| 'answered' | 'refusedNotRun' | 'refusedUnknown' | 'abandoned';

/** Passes types to xstate. Its value is never read. */
const TYPE_ONLY: unknown = undefined;

/**
 * State machine of an accepted request at its entry. In `choosing`, no attempt
 * can have run. In `retrying`, an earlier attempt may have run and the request is
 * repeatable. A request that is not repeatable never reaches `retrying`.
 */
export const requestMachine = setup({
	types: {
		context: TYPE_ONLY as RequestContext,
		events: TYPE_ONLY as RequestMachineEvent,
		input: TYPE_ONLY as RequestContext,
	},
	guards: {
		isRepeatable: ({context}) => context.isRepeatable,
	},
}).createMachine({
	id: 'request',
	context: ({input}) => input,
	initial: 'choosing',
	on: {
		abandon: '.abandoned',
	},
	states: {
		choosing: {
			on: {
				attempt: 'attempting',
				exhaust: 'refusedNotRun',
				duplicate: 'refusedUnknown',
				replay: 'answered',
			},
		},
		attempting: {
			on: {
				answer: 'answering',
				failNotRun: 'choosing',
				failUnknown: [
					{guard: 'isRepeatable', target: 'retrying'},
					{target: 'refusedUnknown'},
				],
			},
		},
		retrying: {
			on: {
				attempt: 'reattempting',
				exhaust: 'refusedUnknown',
			},
		},
		// Like `attempting`, but an earlier attempt may have run. Even if this
		// attempt certainly did not run, the request still may have run.
		reattempting: {
			on: {
				answer: 'answering',
				failNotRun: 'retrying',
				failUnknown: 'retrying',
			},
		},
		answering: {
			on: {
				finish: 'answered',
				failNotRun: [
					{guard: 'isRepeatable', target: 'retrying'},
					{target: 'refusedUnknown'},
				],
				failUnknown: [
					{guard: 'isRepeatable', target: 'retrying'},
					{target: 'refusedUnknown'},
				],
			},
		},
		answered: {type: 'final'},
		refusedNotRun: {type: 'final'},
		refusedUnknown: {type: 'final'},
		abandoned: {type: 'final'},
	},
});
