import {type Dispatcher, Pool} from 'undici';
import {type TargetRecord} from '@damaskspool/core';
import {createResetWatch} from './createResetWatch.js';

/** Connections to targets, kept by incarnation. */
export type TargetPools = {
	/** Whether what is told now follows from the reset of a connection. */
	readonly isResetUnderWay: () => boolean;
	readonly resolve: (target: TargetRecord, connections: number) => Dispatcher;
	/** Closes the connections to targets that are no longer in use, once idle. */
	readonly retain: (targetIds: ReadonlySet<string>) => void;
	readonly close: () => Promise<void>;
};

/** Time to connect: many round trips, and well under the shortest goal that a second attempt can still meet. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed, whatever the target tells: targets may forget one that rested for 300 ms, and reset what is sent on it next. */
const IDLE_TIMEOUT_MS = 220;

/**
 * Creates an empty set of pools.
 *
 * @returns the pools
 */
export function createTargetPools(): TargetPools {
	const resets = createResetWatch({timeoutMs: CONNECT_TIMEOUT_MS});
	const pools = new Map<string, {address: string; pool: Pool; connections: number}>();
	const release = (pool: Pool) => {
		// Requests under way end first; a failure to close means that the sockets are gone already.
		pool.close().catch(async () => pool.destroy());
	};

	return {
		isResetUnderWay: resets.isResetUnderWay,
		resolve(target, connections) {
			const known = pools.get(target.targetId);
			if (known?.address === target.address && known.connections === connections) {
				return known.pool;
			}

			if (known !== undefined) {
				release(known.pool);
			}

			const pool = new Pool(`http://${target.address}`, {
				connections,
				pipelining: 1,
				connect: resets.connect,
				keepAliveTimeout: IDLE_TIMEOUT_MS,
				keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
			});
			pools.set(target.targetId, {address: target.address, pool, connections});
			return pool;
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
