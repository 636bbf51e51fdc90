/** Options of {@link startRepeating}. */
export type RepeatOptions = {
	/** Runs once at a time; it does not reject. */
	readonly task: () => Promise<void>;
	/** Time between the end of one run and the start of the next. */
	readonly intervalMs: number;
};

/**
 * Starts a task that repeats at an interval, one run at a time.
 *
 * @param options - the task and the time between its runs
 * @returns a function that ends the repetition; a run under way is not waited for
 */
export function startRepeating({task, intervalMs}: RepeatOptions): () => void {
	let isEnded = false;
	let timer: NodeJS.Timeout | undefined;
	const repeat = async () => {
		await task();
		if (!isEnded) {
			timer = setTimeout(() => {
				void repeat();
			}, intervalMs);
		}
	};

	void repeat();
	return () => {
		isEnded = true;
		clearTimeout(timer);
	};
}
