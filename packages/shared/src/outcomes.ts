/** The closed set of outcomes of an accepted request, as told to its caller. */
export const OUTCOMES = {
	/** The whole answer was given. */
	answered: 'answered',
	/** No target ran any part of the request. */
	refusedNotRun: 'refused-not-run',
	/** The request was refused, but a target may have run it. */
	refusedUnknown: 'refused-unknown',
} as const;

/** One of {@link OUTCOMES}. */
export type Outcome = typeof OUTCOMES[keyof typeof OUTCOMES];
