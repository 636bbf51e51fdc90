import {type RpcMethods} from './rpc.js';

/**
 * Merges the RPC methods of the parts of a process.
 *
 * @param tables - methods of each part; undefined for a part without methods
 */
export function mergeRpcMethods(tables: ReadonlyArray<RpcMethods | undefined>): RpcMethods {
	return Object.fromEntries(tables.flatMap(table => Object.entries(table ?? {})));
}
