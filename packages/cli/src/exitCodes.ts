/** Exit codes of the command line. */
export const EXIT_CODES = {
	ok: 0,
	/** The system or a process of it did not do what was asked. */
	failed: 1,
	/** What was asked is not valid. */
	invalid: 2,
	/** The answer is there, but some processes did not add their part or have not confirmed yet. */
	partial: 3,
} as const;
