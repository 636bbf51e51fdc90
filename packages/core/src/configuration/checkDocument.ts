import {
	type ConfigurationDocument, createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/** Checks of a document. Each one finds the faults of one kind and describes them in the failure detail. */
const FAULT_FINDERS: ReadonlyArray<(document: ConfigurationDocument) => string[]> = [
	({services}) => findDuplicates(services.map(service => service.serviceId)).map(id => `service "${id}" is defined more than once`),
	({customers}) => findDuplicates(customers.map(customer => customer.customerId)).map(id => `customer "${id}" is defined more than once`),
	({customers}) => findDuplicates(customers.flatMap(customer => [...new Set(customer.keyHashes)]))
		.map(hash => `the key with digest ${hash.slice(0, 8)}… belongs to more than one customer`),
	({services, customers}) => {
		const serviceIds = new Set(services.map(service => service.serviceId));
		return customers.flatMap(({customerId, services: allowed = []}) => allowed
			.filter(serviceId => !serviceIds.has(serviceId))
			.map(serviceId => `customer "${customerId}" refers to unknown service "${serviceId}"`));
	},
	({services}) => findDuplicates(services.flatMap(service => service.routes.flatMap(({method, path}) =>
		(service.models.length === 0 ? [''] : service.models).map(model => `${method} ${path} ${model}`.trim()))))
		.map(route => `route "${route}" is offered more than once`),
];

/**
 * Checks the rules that the schema cannot express: identifiers are unique, a key
 * belongs to one customer, customers refer to existing services, and a route with
 * a model leads to one service.
 *
 * @param document - document that matches its schema
 * @returns the document, or one `query_invalid` failure that lists every fault
 */
export function checkDocument(document: ConfigurationDocument): Result<ConfigurationDocument, Failure> {
	const faults = FAULT_FINDERS.flatMap(findFaults => findFaults(document));
	return faults.length === 0 ? Ok(document) : Err(createFailure(ERROR_CODES.queryInvalid, {detail: faults.join('; ')}));
}

function findDuplicates(names: readonly string[]): string[] {
	const seen = new Set<string>();
	const duplicates = new Set<string>();
	for (const name of names) {
		(seen.has(name) ? duplicates : seen).add(name);
	}

	return [...duplicates];
}
