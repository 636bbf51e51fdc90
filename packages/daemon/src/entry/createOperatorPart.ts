import {type EntryState} from '@damaskspool/core';
import {type RpcContext} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {z} from 'zod';
import {type EntryContext, type EntryPart} from './entryPart.js';

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
 * Creates the part of an entry that answers operators.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createOperatorPart({readState}: EntryContext): EntryPart {
	return {
		effectHandlers: {},
		rpcMethods: {
			'operator.query'(parameters, context) {
				assertOperator(readState(), context);
				const {source} = queryParametersSchema.parse(parameters);
				const list = SOURCES[source];
				if (list === undefined) {
					throw new Error(`unknown source "${source}", expected one of ${Object.keys(SOURCES).join(', ')}`);
				}

				return {rows: list(readState())};
			},
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
