import {type Dispatcher, Pool} from 'undici';
import {type TargetRecord} from '@damaskspool/core';
import {createResetDetector} from './createResetDetector.js';

/** Connections to targets, kept by incarnation. */
export type TargetPools = {
	/** Whether what is told now follows from the reset of a connection. */
	readonly isHandlingReset: () => boolean;
	readonly resolve: (target: TargetRecord, maxConnections: number) => Dispatcher;
	/** Records that a connection broke before an answer: targets may forget those that rest. */
	readonly recordConnectionFailure: () => void;
	/** Closes the connections to targets that are no longer in use, once idle. */
	readonly retain: (targetIds: ReadonlySet<string>) => void;
	readonly close: () => Promise<void>;
};

/** Time to connect: many round trips, and well under the shortest goal that a second attempt can still meet. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection to an engine is closed; most of what it carries may be sent again. */
const IDLE_TIMEOUT_MS = 2000;
/** Idle time where what is sent may not be repeated, and after a break: targets may forget a connection that rested for 300 ms, and reset what is sent on it next. */
const SHORT_IDLE_TIMEOUT_MS = 220;
/** Time after a break in which no connection rests longer than that; breaks of this kind come in spells of several seconds. */
const SHORT_IDLE_PERIOD_MS = 20_000;

/**
 * Creates an empty set of pools.
 *
 * @returns the pools
 */
export function createTargetPools(): TargetPools {
	const resetDetector = createResetDetector({timeoutMs: CONNECT_TIMEOUT_MS});
	const pools = new Map<string, {address: string; pool: Pool; maxConnections: number; idleTimeoutMs: number}>();
	let shortIdleUntilMs = 0;
	const release = (pool: Pool) => {
		// Requests under way end first; a failure to close means that the sockets are gone already.
		pool.close().catch(async () => pool.destroy());
	};

	return {
		isHandlingReset: resetDetector.isHandlingReset,
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
				connect: resetDetector.connect,
				keepAliveTimeout: idleTimeoutMs,
				keepAliveMaxTimeout: idleTimeoutMs,
			});
			pools.set(target.targetId, {
				address: target.address, pool, maxConnections: maxConnections, idleTimeoutMs: idleTimeoutMs,
			});
			return pool;
		},
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
