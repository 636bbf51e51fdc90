/** Checks of customers: keys that no request can use, and allotments that contradict themselves. */
import {ALLOTMENT_UNITS, type AllotmentRecord} from '../allotments/allotmentRecord.js';
import {type CustomerDraft} from './configurationDraft.js';
import {type Finder, type FoundPlace} from './finder.js';
import {formatName} from './formatName.js';
import {indexRepeats} from './indexRepeats.js';
import {isPresentable} from './isPresentable.js';

export const findRepeatedCustomers: Finder = ({draft: {customers = []}}) =>
	indexRepeats(customers.map(({customerId}) => customerId)).map(({index}) => ({
		path: ['customers', index, 'customerId'], detail: describeCustomer(customers[index]!),
	}));

export const findUnnamedCustomers: Finder = ({draft}) => findCustomers(draft.customers, 'customerId', ({customerId}) => customerId === '');

export const findCustomersWithoutKey: Finder = ({draft}) => findCustomers(draft.customers, 'keys', ({keys}) => keys.length === 0);

export const findRepeatedKeys: Finder = ({draft: {customers = []}}) => {
	const lastPlaces = new Map<string, string>();
	for (const [index, {keys}] of customers.entries()) {
		for (const [keyIndex, key] of keys.entries()) {
			lastPlaces.set(key, `${index}/${keyIndex}`);
		}
	}

	return findKeys(customers, (key, place) => lastPlaces.get(key) !== place);
};

export const findUnmatchedKeys: Finder = ({draft: {customers = []}}) => findKeys(customers, key => !isPresentable(key));

export const findBurstsUnderRequest: Finder = ({draft}) => findCustomers(
	draft.customers,
	'burst',
	({allotment}) => allotment.ratePerS > 0 && allotment.burst < countLeast(allotment),
	customer => `${describeCustomer(customer)}: burst ${customer.allotment.burst}, one request counts ${countLeast(customer.allotment)} ${customer.allotment.unit}`,
);

export const findUnusedBursts: Finder = ({draft}) => findCustomers(
	draft.customers,
	'burst',
	({allotment: {ratePerS, burst}}) => ratePerS === 0 && burst > 0,
	customer => `${describeCustomer(customer)}: burst ${customer.allotment.burst}`,
);

/** Counts what a request without stated tokens uses of an allotment. */
function countLeast({unit, plainTokens}: AllotmentRecord): number {
	return unit === ALLOTMENT_UNITS.tokens ? Math.max(1, plainTokens) : 1;
}

function findCustomers(
	customers: readonly CustomerDraft[] | undefined,
	field: string,
	isFound: (customer: CustomerDraft) => boolean,
	describe: (customer: CustomerDraft) => string = describeCustomer,
): readonly FoundPlace[] {
	return (customers ?? []).flatMap((customer, index): readonly FoundPlace[] => isFound(customer)
		? [{path: ['customers', index, field], detail: describe(customer)}]
		: []);
}

/** Lists keys by their place, since a key itself is never told. */
function findKeys(customers: readonly CustomerDraft[], isFound: (key: string, place: string) => boolean): readonly FoundPlace[] {
	return customers.flatMap((customer, index) => customer.keys.flatMap((key, keyIndex): readonly FoundPlace[] => isFound(key, `${index}/${keyIndex}`)
		? [{path: ['customers', index, 'keys', keyIndex], detail: `key ${keyIndex + 1} of ${describeCustomer(customer)}`}]
		: []));
}

function describeCustomer({customerId}: CustomerDraft): string {
	return `customer ${formatName(customerId)}`;
}
