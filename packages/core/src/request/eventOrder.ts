/**
 * Order of the events of a stream. Their numbers increase, so an event that is repeated or of another stream is noticed
 * by its number. Where they are known to be consecutive, one that is missing is noticed as well.
 */

/** Order of the events that an attempt has brought. */
export type EventOrder = {
	/** Last event that the caller has; undefined or empty if it has none. A caller can name one without a number, and any event follows that. */
	readonly lastEventId: string | undefined;
	/** Whether each number is one more than the last one, from 0 or 1. */
	readonly isConsecutive: boolean;
	/** Number that another target has sent after the same last event, and that was refused because numbers are consecutive. */
	readonly refusedBefore: number | undefined;
	/** Whether the attempt has brought an event. */
	readonly hasEvents: boolean;
	/** Events whose number is one more than the last one. */
	readonly steps: number;
	/** Events whose number leaves others out. */
	readonly gaps: number;
	/** Whether two targets left out the same events. */
	readonly isGapConfirmed: boolean;
	/** Number that was refused because it leaves others out. */
	readonly refusedNumber: number | undefined;
};

/** What the events of an attempt show of how a service numbers them. */
export type StreamForm = Pick<EventOrder, 'hasEvents' | 'steps' | 'gaps' | 'isGapConfirmed' | 'refusedNumber'>;

/** What an attempt begins with. */
export type EventOrderStart = Pick<EventOrder, 'lastEventId' | 'isConsecutive' | 'refusedBefore'>;

/** Where the number of an event stands, seen from the last event of the caller. */
const POSITIONS = {
	first: 'first',
	step: 'step',
	gap: 'gap',
	behind: 'behind',
} as const;

/** Highest number of the first event of a consecutive stream. These begin at 0 or 1. */
const MAX_FIRST_NUMBER = 1;
/** Identifier that counts as a number. There is one spelling of each, and longer ones are not represented exactly. */
const EVENT_NUMBER = /^(?:0|[1-9]\d{0,14})$/v;
/** A caller may write the number of its last event in other ways. */
const CALLER_NUMBER = /^\d{1,15}$/v;

/**
 * Parses the identifier of an event.
 *
 * @returns undefined if it is not a number
 */
export function parseEventNumber(eventId: string): number | undefined {
	return EVENT_NUMBER.test(eventId) ? Number(eventId) : undefined;
}

/** Creates the order of an attempt that has brought no event. */
export function createEventOrder(start: EventOrderStart): EventOrder {
	return {
		...start, hasEvents: false, steps: 0, gaps: 0, isGapConfirmed: false, refusedNumber: undefined,
	};
}

/**
 * Advances the order by the event that came, if it may be the next one.
 *
 * @returns the new order, and why the event is not the next one if it is not
 */
export function advanceEventOrder(order: EventOrder, {id, number}: {readonly id: string; readonly number: number}): {readonly order: EventOrder; readonly fault: string | undefined} {
	const {lastEventId, isConsecutive, refusedBefore, steps, gaps} = order;
	const position = findPosition(lastEventId, number);
	if (position === POSITIONS.behind) {
		return {order, fault: `number ${number} after ${Number(lastEventId)}`};
	}

	const isGap = position === POSITIONS.gap;
	// Two targets that leave out the same events have not lost them.
	const isGapConfirmed = isGap && isConsecutive && number === refusedBefore;
	if (isGap && isConsecutive && !isGapConfirmed) {
		const place = lastEventId === undefined || lastEventId === '' ? 'as the first' : `after ${Number(lastEventId)}`;
		return {order: {...order, refusedNumber: number}, fault: `number ${number} ${place}, which leaves a gap`};
	}

	return {
		order: {
			lastEventId: id,
			isConsecutive: isConsecutive && !isGapConfirmed,
			refusedBefore: undefined,
			hasEvents: true,
			steps: steps + (position === POSITIONS.step ? 1 : 0),
			gaps: gaps + (isGap ? 1 : 0),
			isGapConfirmed: order.isGapConfirmed || isGapConfirmed,
			refusedNumber: undefined,
		},
		fault: undefined,
	};
}

function findPosition(lastEventId: string | undefined, number: number): typeof POSITIONS[keyof typeof POSITIONS] {
	if (lastEventId === undefined || lastEventId === '') {
		return number <= MAX_FIRST_NUMBER ? POSITIONS.first : POSITIONS.gap;
	}

	if (!CALLER_NUMBER.test(lastEventId)) {
		return POSITIONS.first;
	}

	const lastNumber = Number(lastEventId);
	if (number <= lastNumber) {
		return POSITIONS.behind;
	}

	return number === lastNumber + 1 ? POSITIONS.step : POSITIONS.gap;
}
