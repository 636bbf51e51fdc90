/**
 * The one form in which decisions are made: a reducer over all events of a
 * process, made of tables of handlers. Events carry the time and every random
 * value; effects are data, carried out by the runtime. See docs/design/0001.
 */

/** Every event names its type and the monotonic time at which it was seen. */
export type BaseEvent = {
	readonly type: string;
	/** Milliseconds on the process's own monotonic clock; never compared across instances. */
	readonly nowMs: number;
};

/** Every effect names its type. */
export type BaseEffect = {
	readonly type: string;
};

/**
 * Handles one type of event. The reducer owns the state, so a handler may
 * change it in place; the same events on the same first state give the same
 * effects.
 */
export type Handler<State, Event, Effect> = (state: State, event: Event) => readonly Effect[];

/** Handlers of one part of the state, by event type. */
export type HandlerTable<State, Event extends BaseEvent, Effect> = {
	readonly [Type in Event['type']]?: Handler<State, Extract<Event, {type: Type}>, Effect>;
};

/** Decides on one event. */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => readonly Effect[];

/** Options of {@link createReducer}. */
export type ReducerOptions<State, Event extends BaseEvent, Effect> = {
	/** Tables in the order in which they see an event; several may handle the same type. */
	readonly tables: ReadonlyArray<HandlerTable<State, Event, Effect>>;
};

/**
 * Joins tables of handlers into one reducer.
 *
 * @param options - the tables
 * @returns a function from state and event to the effects to carry out, in order
 */
export function createReducer<State, Event extends BaseEvent, Effect extends BaseEffect>(options: ReducerOptions<State, Event, Effect>): Reducer<State, Event, Effect> {
	const handlersByType = new Map<string, Array<Handler<State, Event, Effect>>>();
	for (const table of options.tables) {
		for (const [type, handler] of Object.entries(table)) {
			const handlers = handlersByType.get(type) ?? [];
			handlers.push(handler as Handler<State, Event, Effect>);
			handlersByType.set(type, handlers);
		}
	}

	return (state, event) => {
		const handlers = handlersByType.get(event.type) ?? [];
		return handlers.flatMap(handler => handler(state, event));
	};
}
