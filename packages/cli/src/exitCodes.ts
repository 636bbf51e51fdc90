/** Exit codes of the command-line program. */
export const EXIT_CODES = {
	ok: 0,
	/** The command is valid, but the system failed to execute it. */
	failed: 1,
	/** The command, a statement or a checked file is not valid. */
	invalid: 2,
	/** The command succeeded, but some processes did not contribute their part or have not confirmed the change yet. */
	partial: 3,
} as const;
