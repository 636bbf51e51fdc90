/**
 * Starts a timeout that lets the event loop read its sockets once more before it fires. The loop runs timers before it
 * reads, so after a time in which the process stood still a plain timer would go before what has arrived meanwhile.
 *
 * @param onExpired - called once, unless the timeout was cancelled
 * @param afterMs - time from now on
 * @returns a function that cancels the timeout
 */
export function startTimeout(onExpired: () => void, afterMs: number): () => void {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(onExpired);
	}, Math.max(0, afterMs));
	return () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};
}
