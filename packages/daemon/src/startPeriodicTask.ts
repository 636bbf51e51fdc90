/** Options of {@link startPeriodicTask}. */
export type PeriodicTaskOptions = {
	/** Must not reject. */
	readonly task: () => Promise<void>;
	/** Delay between the end of one run and the start of the next. */
	readonly intervalMs: number;
};

/**
 * Starts a task that runs immediately and then periodically, one run at a time.
 *
 * @returns a function that stops the repetition without waiting for a run in progress
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
