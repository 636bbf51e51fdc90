import {type BaseEffect, type BaseEvent, type Reducer} from '@damaskspool/core';

/** Carries out effects, by their type. */
export type EffectHandlers<Effect extends BaseEffect> = {
	readonly [Type in Effect['type']]: (effect: Extract<Effect, {type: Type}>) => void;
};

/** Options of {@link createLoop}. */
export type LoopOptions<State, Event extends BaseEvent, Effect extends BaseEffect> = {
	readonly state: State;
	readonly reduce: Reducer<State, Event, Effect>;
	readonly effectHandlers: EffectHandlers<Effect>;
	/** Monotonic clock in milliseconds. */
	readonly readClock?: () => number;
};

/** An event as its source knows it; the loop adds the time. */
export type UntimedEvent<Event extends BaseEvent> = Event extends BaseEvent ? Omit<Event, 'nowMs'> : never;

/** The one loop of a process. */
export type Loop<State, Event extends BaseEvent> = {
	/** Read by reports only; changed by the reducer alone. */
	readonly state: State;
	/** Decides on an event and carries out its effects before it returns. */
	readonly dispatch: (event: UntimedEvent<Event>) => void;
	readonly readClock: () => number;
};

/**
 * Joins a reducer and the handlers of its effects. An event that an effect
 * causes at once is queued, so that decisions never nest.
 *
 * @param options - state, reducer, effect handlers and clock
 * @returns the loop
 */
export function createLoop<State, Event extends BaseEvent, Effect extends BaseEffect>(options: LoopOptions<State, Event, Effect>): Loop<State, Event> {
	const {state, reduce, effectHandlers, readClock = () => performance.now()} = options;
	const queue: Array<UntimedEvent<Event>> = [];
	let isDraining = false;

	const handleEvent = (event: UntimedEvent<Event>) => {
		const timedEvent = {...event, nowMs: readClock()} as unknown as Event;
		for (const effect of reduce(state, timedEvent)) {
			const handleEffect = effectHandlers[effect.type as Effect['type']] as (effect: Effect) => void;
			handleEffect(effect);
		}
	};

	const dispatch = (event: UntimedEvent<Event>) => {
		queue.push(event);
		if (isDraining) {
			return;
		}

		isDraining = true;
		try {
			for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
				handleEvent(next);
			}
		} finally {
			isDraining = false;
		}
	};

	return {state, dispatch, readClock};
}
