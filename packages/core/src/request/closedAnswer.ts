/** Answers that ended with their connection. A process that is killed closes its connections as well. */

/** What tells a target that has sent its whole answer from one whose process has ended. */
export type CloseSigns = {
	/** Whether the target accepts connections after the end; undefined if that is not known. */
	readonly isListening: boolean | undefined;
	/** Whether the target has announced that it stops, or its registration was removed. */
	readonly isLeaving: boolean;
};
