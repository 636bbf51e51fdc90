import {type BaseEffect, type BaseEvent, type Reducer} from '@damaskspool/core';

/** Handlers that execute effects, by effect type. */
export type EffectHandlers<Effect extends BaseEffect> = {
	readonly [Type in Effect['type']]: (effect: Extract<Effect, {type: Type}>) => void;
};

/** Options of {@link createLoop}. */
export type LoopOptions<State, Event extends BaseEvent, Effect extends BaseEffect> = {
	/** Initial state. The reducer mutates it. */
	readonly state: State;
	readonly reduce: Reducer<State, Event, Effect>;
	readonly effectHandlers: EffectHandlers<Effect>;
	/**
	 * Called with an error that the reducer or an effect handler threw, and with the type of the event. The loop then goes on
	 * with the next event. If omitted, the error leaves `dispatch`.
	 */
	readonly onFailure?: (error: unknown, eventType: string) => void;
	/** Monotonic clock in milliseconds. */
	readonly readClock?: () => number;
};

/** An event without its time, which the loop adds on dispatch. */
export type UntimedEvent<Event extends BaseEvent> = Event extends BaseEvent ? Omit<Event, 'nowMs'> : never;

/** Event loop of a process: passes events to the reducer and executes the resulting effects. A process has only one. */
export type Loop<State, Event extends BaseEvent> = {
	/** Current state. Only the reducer may change it; other code may read it for reports. */
	readonly state: State;
	/**
	 * Reduces an event and executes its effects before it returns. An event
	 * dispatched by an effect handler is queued until these effects are done.
	 */
	readonly dispatch: (event: UntimedEvent<Event>) => void;
	/** Returns the monotonic time in milliseconds. */
	readonly readClock: () => number;
};

/**
 * Creates a loop that connects a reducer with the handlers of its effects. An
 * event that is dispatched while another is handled is queued: reducer calls never nest.
 */
export function createLoop<State, Event extends BaseEvent, Effect extends BaseEffect>(options: LoopOptions<State, Event, Effect>): Loop<State, Event> {
	const {state, reduce, effectHandlers, onFailure, readClock = () => performance.now()} = options;
	const queue: Array<UntimedEvent<Event>> = [];
	let isDraining = false;

	const handleEvent = (event: UntimedEvent<Event>) => {
		const timedEvent = {...event, nowMs: readClock()} as unknown as Event;
		for (const effect of reduce(state, timedEvent)) {
			const handleEffect = effectHandlers[effect.type as Effect['type']] as (effect: Effect) => void;
			handleEffect(effect);
		}
	};

	const handleEventSafely = (event: UntimedEvent<Event>) => {
		try {
			handleEvent(event);
		} catch (error) {
			if (onFailure === undefined) {
				throw error;
			}

			onFailure(error, (event as unknown as Event).type);
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
				handleEventSafely(next);
			}
		} finally {
			isDraining = false;
		}
	};

	return {state, dispatch, readClock};
}
