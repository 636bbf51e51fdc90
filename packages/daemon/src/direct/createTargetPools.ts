import {type Socket} from 'node:net';
import {type Dispatcher, Pool} from 'undici';
import {type TargetRecord} from '@damaskspool/core';
import {governSocket, type ReadGovernor} from '@damaskspool/runtime';
import {createEndDelay, type EndDelay} from './createEndDelay.js';
import {createProgressGuard, MAX_ANSWER_HEAD_BYTES, type ProgressGuard} from './createProgressGuard.js';
import {createResetDetector} from './createResetDetector.js';

/** Connection pools of targets. A target identifier stands for one incarnation of a target. */
export type TargetPools = {
	/** Whether the current event loop iteration handles the reset of a connection. */
	readonly isHandlingReset: () => boolean;
	/** Records that bytes of a connection were part of a response; see {@link ProgressGuard}. */
	readonly recordProgress: ProgressGuard['recordProgress'];
	/** Records the head of an answer. Returns whether it is the first of its connection. */
	readonly recordAnswer: ProgressGuard['recordAnswer'];
	/** Records a refusal. Returns whether it is the first one of its request on its connection. */
	readonly recordRefusal: ProgressGuard['recordRefusal'];
	/** Delays the end of the connection whose bytes were just read; see {@link EndDelay}. */
	readonly delayEnd: EndDelay['delayEnd'];
	/** Returns the pool of a target; replaces it if the address, the connection limit or the idle timeout has changed. */
	readonly resolve: (target: TargetRecord, maxConnections: number) => Dispatcher;
	/** Records that a connection failed before a response. Targets may be dropping idle connections, so all idle timeouts are shortened for a while. */
	readonly recordConnectionFailure: () => void;
	/** Whether bytes that a target has sent wait to be read. `address` is `ip:port`. */
	readonly hasUnread: (address: string) => boolean;
	/** Returns the number of open connections. */
	readonly countConnections: () => number;
	/** Closes the pools of all other targets, once their requests have completed. */
	readonly retain: (targetIds: ReadonlySet<string>) => void;
	readonly close: () => Promise<void>;
};

/** Connect timeout: many round trips, and short enough that a second attempt can still meet the shortest latency objective. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle timeout of connections to an engine. Most requests to engines may be retried. */
const IDLE_TIMEOUT_MS = 2000;
/**
 * Idle timeout of connections to targets without a stage (plain services), whose requests may not be retried, and of all connections after a connection failure.
 * Targets may drop a connection that was idle for 300 ms and reset the next request on it.
 */
const SHORT_IDLE_TIMEOUT_MS = 220;
/** Time after a connection failure for which the short idle timeout applies to all targets. Such failures come in bursts of several seconds. */
const SHORT_IDLE_PERIOD_MS = 20_000;

/** Creates an empty set of connection pools. */
export function createTargetPools({readGovernor}: {readonly readGovernor: ReadGovernor}): TargetPools {
	const progressGuard = createProgressGuard();
	const endDelay = createEndDelay();
	/** Address to which each open connection was opened. */
	const openSockets = new Map<Socket, string>();
	const resetDetector = createResetDetector({
		timeoutMs: CONNECT_TIMEOUT_MS,
		onConnected(socket, address) {
			openSockets.set(socket, address);
			socket.once('close', () => {
				openSockets.delete(socket);
			});
			governSocket(socket, readGovernor);
			progressGuard.watchSocket(socket);
			endDelay.watchSocket(socket);
		},
	});
	const pools = new Map<string, {address: string; pool: Pool; maxConnections: number; idleTimeoutMs: number}>();
	let shortIdleUntilMs = 0;
	const release = (pool: Pool) => {
		// `close` waits for requests in progress. If it fails, the sockets are already closed.
		pool.close().catch(async () => pool.destroy());
	};

	return {
		isHandlingReset: resetDetector.isHandlingReset,
		recordProgress: progressGuard.recordProgress,
		recordAnswer: progressGuard.recordAnswer,
		recordRefusal: progressGuard.recordRefusal,
		delayEnd: endDelay.delayEnd,
		resolve(target, maxConnections) {
			const existing = pools.get(target.targetId);
			const isPlain = target.stage === undefined;
			const idleTimeoutMs = isPlain || performance.now() < shortIdleUntilMs ? SHORT_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
			if (existing?.address === target.address && existing.maxConnections === maxConnections && existing.idleTimeoutMs === idleTimeoutMs) {
				return existing.pool;
			}

			if (existing !== undefined) {
				release(existing.pool);
			}

			const pool = new Pool(`http://${target.address}`, {
				connections: maxConnections,
				pipelining: 1,
				maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
				connect: resetDetector.connect,
				keepAliveTimeout: idleTimeoutMs,
				keepAliveMaxTimeout: idleTimeoutMs,
			});
			pools.set(target.targetId, {
				address: target.address, pool, maxConnections, idleTimeoutMs,
			});
			return pool;
		},
		hasUnread: address => [...openSockets].some(([{readableLength}, openedTo]) => readableLength > 0 && openedTo === address),
		countConnections: () => openSockets.size,
		recordConnectionFailure() {
			shortIdleUntilMs = performance.now() + SHORT_IDLE_PERIOD_MS;
		},
		retain(targetIds) {
			for (const [targetId, {pool}] of pools) {
				if (!targetIds.has(targetId)) {
					pools.delete(targetId);
					release(pool);
				}
			}
		},
		async close() {
			await Promise.all([...pools.values()].map(async ({pool}) => pool.destroy()));
		},
	};
}
