import {type RpcContext} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {type EntryContext} from './entryComponent.js';

/**
 * Checks that an RPC call carries the API key of an operator.
 *
 * @returns the operator's customer id
 * @throws an error, which the RPC reply carries to the caller, if the key is missing, unknown or not an operator's
 */
export function assertOperator({readState}: EntryContext, rpcContext: RpcContext): string {
	const {configuration} = readState();
	const key = /^Bearer (?<key>\S+)$/v.exec(rpcContext.authorization ?? '')?.groups?.key;
	const customerId = key === undefined ? undefined : configuration.customerIdByKeyHash.get(hashText(key));
	const customer = customerId === undefined ? undefined : configuration.customers.get(customerId);
	if (customer?.operator !== true) {
		throw new Error('the call requires an operator\'s key');
	}

	return customer.customerId;
}
