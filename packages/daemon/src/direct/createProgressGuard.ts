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
	/** Records a refusal that was just read. Returns whether none with the same identifier came before it on its connection. */
	readonly recordRefusal: (requestId: string) => boolean;
	/** Destroys a socket once more than the maximum number of its bytes in a row led to no progress. */
	readonly watchSocket: (socket: Socket) => void;
};

/** Bytes in a row without progress. Several times the largest head of a response that the parser accepts. */
const MAX_UNPRODUCTIVE_BYTES = 65_536;

/** Refused requests that are remembered for a connection. Callers send a request again within seconds. */
const MAX_REFUSED_IDS = 64;

/** Answers that were read from a connection. */
type ConnectionAnswers = {answerCount: number; readonly refusedIds: Set<string>};

/** Creates a guard for the connections of an entry to its targets. */
export function createProgressGuard(): ProgressGuard {
	let progressCount = 0;
	/** Connection whose bytes were read last. The HTTP client parses them before it reads those of another one. */
	let connectionRead: ConnectionAnswers = {answerCount: 0, refusedIds: new Set()};
	return {
		recordProgress() {
			progressCount += 1;
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
			const connection: ConnectionAnswers = {answerCount: 0, refusedIds: new Set()};
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
