import {type RpcMethods} from './rpc.js';

/**
 * Joins the methods that the parts of a process offer.
 *
 * @param tables - methods of each part, undefined where a part offers none
 * @returns all methods by name
 */
export function mergeRpcMethods(tables: ReadonlyArray<RpcMethods | undefined>): RpcMethods {
	return Object.fromEntries(tables.flatMap(table => Object.entries(table ?? {})));
}
