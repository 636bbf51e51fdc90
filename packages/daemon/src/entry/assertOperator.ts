import {type RpcContext} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {type EntryContext} from './entryPart.js';

/**
 * Refuses a caller whose key is not that of an operator.
 *
 * @param context - what the entry shares among its parts
 * @param rpcContext - what is known of the call
 * @returns the operator; throws for anybody else, which the caller is told
 */
export function assertOperator({readState}: EntryContext, rpcContext: RpcContext): string {
	const {configuration} = readState();
	const key = /^Bearer (?<key>\S+)$/v.exec(rpcContext.authorization ?? '')?.groups?.key;
	const customerId = key === undefined ? undefined : configuration.customerIdByKeyHash.get(hashText(key));
	const customer = customerId === undefined ? undefined : configuration.customers.get(customerId);
	if (customer?.operator !== true) {
		throw new Error('an operator\'s key is needed');
	}

	return customer.customerId;
}
