import {setup} from 'xstate';

/** What the life of a request depends on. */
export type RequestContext = {
	readonly isRepeatable: boolean;
};

/** What can happen to a request after it was accepted. */
export type RequestMachineEvent
	/** A target was chosen and the attempt is being sent. */
	= | {readonly type: 'attempt'}
	/** The sidecar or target began to answer. */
		| {readonly type: 'answer'}
	/** The attempt ended and certainly nothing of it ran. */
		| {readonly type: 'failNotRun'}
	/** The attempt ended and it may have run. */
		| {readonly type: 'failUnknown'}
	/** An earlier request runs or ran the same call, without an answer that is known. */
		| {readonly type: 'duplicate'}
	/** An earlier request ran the same call, and its answer is given again. */
		| {readonly type: 'replay'}
	/** No further attempt is made: no target, no budget or no time. */
		| {readonly type: 'exhaust'}
	/** The whole answer was handed to the caller. */
		| {readonly type: 'finish'}
	/** The caller went away. */
		| {readonly type: 'abandon'};

/** States of a request; the last four are final. */
export type RequestMachineState
	= | 'choosing' | 'attempting' | 'answering' | 'retrying'
		| 'answered' | 'refusedNotRun' | 'refusedUnknown' | 'abandoned';

/** Carries types to xstate; its value is never read. */
const PHANTOM: unknown = undefined;

/**
 * Life of an accepted request at its entry. `choosing` means that nothing can
 * have run yet; `retrying` means that something may have run and the request is
 * repeatable. A request that may not be repeated never reaches `retrying`.
 */
export const requestMachine = setup({
	types: {
		context: PHANTOM as RequestContext,
		events: PHANTOM as RequestMachineEvent,
		input: PHANTOM as RequestContext,
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
		// Like `attempting`, but an earlier attempt may have run, so that a proof
		// of not-run for this attempt proves nothing for the request.
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
