/** Outcomes of an accepted request, as reported to the caller. The set is closed. */
export const OUTCOMES = {
	/** The complete response was sent. */
	answered: 'answered',
	/** No target ran any part of the request. */
	refusedNotRun: 'refused-not-run',
	/** The request was refused, but a target may have run it. */
	refusedUnknown: 'refused-unknown',
} as const;

/** One of {@link OUTCOMES}. */
export type Outcome = typeof OUTCOMES[keyof typeof OUTCOMES];
