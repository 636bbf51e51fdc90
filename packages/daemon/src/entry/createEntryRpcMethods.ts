import {type EntryEvent, type EntryState} from '@damaskspool/core';
import {type Loop, type RpcContext, type RpcMethods} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {z} from 'zod';

/** Options of {@link createEntryRpcMethods}. */
export type EntryRpcOptions = {
	readonly loop: Loop<EntryState, EntryEvent>;
};

/** One row of a query's reply: plain values by column. */
export type QueryRow = Readonly<Record<string, string | number | boolean>>;

const queryParametersSchema = z.strictObject({source: z.string()});

/** Rows by the name after `query`. */
const SOURCES: Readonly<Record<string, (state: EntryState) => QueryRow[]>> = {
	targets: state => [...state.membership.targets.values()].map(target => ({
		target: target.targetId,
		service: target.serviceId,
		availabilityZone: target.availabilityZone,
		state: target.load?.state ?? 'unknown',
		role: target.load?.role ?? 'unknown',
		running: target.load?.running ?? 0,
		waiting: target.load?.waiting ?? 0,
		freePieces: target.load?.freePieces ?? 0,
	})),
};

/**
 * Creates the JSON-RPC methods of an entry.
 *
 * @param options - loop whose state is read
 * @returns methods by name
 */
export function createEntryRpcMethods({loop}: EntryRpcOptions): RpcMethods {
	return {
		'operator.query'(parameters, context) {
			assertOperator(loop.state, context);
			const {source} = queryParametersSchema.parse(parameters);
			const list = SOURCES[source];
			if (list === undefined) {
				throw new Error(`unknown source "${source}", expected one of ${Object.keys(SOURCES).join(', ')}`);
			}

			return {rows: list(loop.state)};
		},
	};
}

/** Refuses a caller whose key is not that of an operator. */
function assertOperator(state: EntryState, context: RpcContext): void {
	const key = /^Bearer (?<key>\S+)$/v.exec(context.authorization ?? '')?.groups?.key;
	const customerId = key === undefined ? undefined : state.configuration.customerIdByKeyHash.get(hashText(key));
	const customer = customerId === undefined ? undefined : state.configuration.customers.get(customerId);
	if (customer?.operator !== true) {
		throw new Error('an operator\'s key is needed');
	}
}
