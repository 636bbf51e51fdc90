import {type Socket} from 'node:net';

/**
 * Ends connections whose bytes the HTTP parser consumes without any result, for instance endless line breaks before a
 * status line, interim responses or chunk extensions. The parser buffers none of them and reports none of them.
 */
export type ProgressGuard = {
	/** Records that the bytes that were just read completed the head of a response or were part of its body. */
	readonly recordProgress: () => void;
	/** Records the head of an answer that was just read. Returns whether no other answer came before it on its connection. */
	readonly recordAnswer: () => boolean;
	/** Destroys a socket once more than the maximum number of its bytes in a row led to no progress. */
	readonly watchSocket: (socket: Socket) => void;
};

/** Bytes in a row without progress. Several times the largest head of a response that the parser accepts. */
const MAX_UNPRODUCTIVE_BYTES = 65_536;

/** Creates a guard for the connections of an entry to its targets. */
export function createProgressGuard(): ProgressGuard {
	let progressCount = 0;
	/** Connection whose bytes were read last. The HTTP client parses them before it reads those of another one. */
	let connectionRead = {answerCount: 0};
	return {
		recordProgress() {
			progressCount += 1;
		},
		recordAnswer() {
			connectionRead.answerCount += 1;
			return connectionRead.answerCount === 1;
		},
		watchSocket(socket) {
			const connection = {answerCount: 0};
			const readSocket = socket.read.bind(socket);
			let unproductiveBytes = 0;
			let lastBytes = 0;
			let countBeforeRead = 0;
			// The HTTP client parses each chunk before it reads the next one, and reads until nothing is left.
			socket.read = size => {
				connectionRead = connection;
				unproductiveBytes = progressCount === countBeforeRead ? unproductiveBytes + lastBytes : 0;
				if (unproductiveBytes > MAX_UNPRODUCTIVE_BYTES) {
					socket.destroy(new Error('the target sends bytes that are no response'));
					return null;
				}

				const chunk = readSocket(size) as Uint8Array | null;
				lastBytes = chunk?.length ?? 0;
				countBeforeRead = progressCount;
				return chunk;
			};
		},
	};
}
