/**
 * Order of the events of a stream. They are numbered one by one, so an event that is missing, repeated or foreign is
 * noticed by its identifier.
 */

/** Highest identifier of the first event of a stream. Streams begin at 0 or 1. */
const MAX_FIRST_ID = 1;
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

/**
 * Finds why an event does not directly follow the last one that a caller has.
 *
 * @param lastEventId - undefined or empty if the caller has none; any event follows one without a number, which only a caller can name
 * @returns undefined if it does
 */
export function findOrderFault(lastEventId: string | undefined, eventNumber: number): string | undefined {
	if (lastEventId === undefined || lastEventId === '') {
		return eventNumber <= MAX_FIRST_ID ? undefined : `number ${eventNumber} as the first`;
	}

	return !CALLER_NUMBER.test(lastEventId) || eventNumber === Number(lastEventId) + 1 ? undefined : `number ${eventNumber} after ${Number(lastEventId)}`;
}
