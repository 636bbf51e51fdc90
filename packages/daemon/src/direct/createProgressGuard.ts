import {type Socket} from 'node:net';

/**
 * Ends connections whose bytes the HTTP parser consumes without any result, for instance endless line breaks before a
 * status line, header lines, interim responses, chunk extensions or trailers. The parser reports none of them.
 */
export type ProgressGuard = {
	/** Records that the bytes that were just read completed the head of a response or were part of its body. */
	readonly recordProgress: () => void;
	/** Records the head of an answer that was just read. Returns whether no other answer came before it on its connection. */
	readonly recordAnswer: () => boolean;
	/** Records a refusal that was just read. Returns whether none with the same identifier came before it on its connection. */
	readonly recordRefusal: (requestId: string) => boolean;
	/** Destroys a socket once more than the maximum number of its bytes in a row led to no progress. */
	readonly watchSocket: (socket: Socket) => void;
};

/** Bytes in a row without progress, beside the slice that is parsed then. More than the largest head of a usual answer. */
const MAX_UNPRODUCTIVE_BYTES = 16_384;

/**
 * Largest head that the HTTP client accepts. More than the guard lets through: beyond its limit, the client parses what it
 * has read to the end, with an error for each line.
 */
export const MAX_ANSWER_HEAD_BYTES = 65_536;

/** Refused requests that are remembered for a connection. Callers send a request again within seconds. */
const MAX_REFUSED_IDS = 64;

/** What was read from a connection. */
type WatchedConnection = {answerCount: number; hasProgressed: boolean; readonly refusedIds: Set<string>};

const createWatchedConnection = (): WatchedConnection => ({answerCount: 0, hasProgressed: false, refusedIds: new Set()});

/** Creates a guard for the connections of an entry to its targets. */
export function createProgressGuard(): ProgressGuard {
	/** Connection whose bytes were read last. The HTTP client parses them before it reads those of another one. */
	let connectionRead = createWatchedConnection();
	return {
		recordProgress() {
			connectionRead.hasProgressed = true;
		},
		recordAnswer() {
			connectionRead.answerCount += 1;
			return connectionRead.answerCount === 1;
		},
		recordRefusal(requestId) {
			const {refusedIds} = connectionRead;
			const isFirst = !refusedIds.has(requestId);
			refusedIds.add(requestId);
			if (refusedIds.size > MAX_REFUSED_IDS) {
				refusedIds.delete(refusedIds.values().next().value!);
			}

			return isFirst;
		},
		watchSocket(socket) {
			const connection = createWatchedConnection();
			const readSocket = socket.read.bind(socket);
			let unproductiveBytes = 0;
			let lastBytes = 0;
			// The HTTP client parses each chunk before it reads the next one, and reads until nothing is left.
			socket.read = size => {
				connectionRead = connection;
				unproductiveBytes = connection.hasProgressed ? 0 : unproductiveBytes + lastBytes;
				connection.hasProgressed = false;
				if (unproductiveBytes > MAX_UNPRODUCTIVE_BYTES) {
					socket.destroy(new Error('the target sends bytes that are no response'));
					return null;
				}

				const chunk = readSocket(size) as Uint8Array | null;
				lastBytes = chunk?.length ?? 0;
				return chunk;
			};
		},
	};
}
