/**
 * All decisions of a process are made by one reducer over its events, which is
 * composed of tables of handlers. Events carry the time and all random values.
 * Effects are plain data, which the runtime executes. See docs/design/0001.
 */

/** Fields that every event has. */
export type BaseEvent = {
	readonly type: string;
	/** Time of the event on the monotonic clock of this process; never compared across instances. */
	readonly nowMs: number;
};

/** Fields that every effect has. */
export type BaseEffect = {
	readonly type: string;
};

/**
 * Handles one type of event. A handler may modify the state in place, because the
 * reducer owns it. Handlers must be deterministic: the same events applied to the
 * same initial state produce the same effects.
 */
export type Handler<State, Event, Effect> = (state: State, event: Event) => readonly Effect[];

/** Handlers of one area of the state, by event type. */
export type HandlerTable<State, Event extends BaseEvent, Effect> = {
	readonly [Type in Event['type']]?: Handler<State, Extract<Event, {type: Type}>, Effect>;
};

/** Applies one event to the state, and returns the effects to execute, in order. */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => readonly Effect[];

/** Options of {@link createReducer}. */
export type ReducerOptions<State, Event extends BaseEvent, Effect> = {
	/** Tables in the order in which they handle an event. Several tables may handle the same event type. */
	readonly tables: ReadonlyArray<HandlerTable<State, Event, Effect>>;
};

/** Creates one reducer from several tables of handlers. Ignores events that no table handles. */
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
