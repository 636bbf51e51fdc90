/** How an answer tells where its body ends. */
export const ANSWER_FRAMINGS = {
	length: 'length',
	chunked: 'chunked',
	/** The body ends with its connection, so that a process that ends may look like one that has sent everything. */
	connection: 'connection',
} as const;

/** Value of {@link ANSWER_FRAMINGS}. */
export type AnswerFraming = typeof ANSWER_FRAMINGS[keyof typeof ANSWER_FRAMINGS];
