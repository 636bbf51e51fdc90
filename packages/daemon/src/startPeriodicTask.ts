/** Options of {@link startPeriodicTask}. */
export type PeriodicTaskOptions = {
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
export function startPeriodicTask({task, intervalMs}: PeriodicTaskOptions): () => void {
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	const run = async () => {
		await task();
		if (!isStopped) {
			timer = setTimeout(() => {
				void run();
			}, intervalMs);
		}
	};

	void run();
	return () => {
		isStopped = true;
		clearTimeout(timer);
	};
}
