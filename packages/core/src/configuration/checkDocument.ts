import {
	type ConfigurationDocument, createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/** Finds what is wrong in a document, one kind of fault each. */
const FAULT_FINDERS: ReadonlyArray<(document: ConfigurationDocument) => string[]> = [
	({services}) => findDuplicates(services.map(service => service.serviceId)).map(id => `service "${id}" stands twice`),
	({customers}) => findDuplicates(customers.map(customer => customer.customerId)).map(id => `customer "${id}" stands twice`),
	({customers}) => findDuplicates(customers.flatMap(customer => [...new Set(customer.keyHashes)]))
		.map(hash => `the key with digest ${hash.slice(0, 8)}… belongs to two customers`),
	({services, customers}) => {
		const serviceIds = new Set(services.map(service => service.serviceId));
		return customers.flatMap(({customerId, services: allowed = []}) => allowed
			.filter(serviceId => !serviceIds.has(serviceId))
			.map(serviceId => `customer "${customerId}" names the unknown service "${serviceId}"`));
	},
	({services}) => findDuplicates(services.flatMap(service => service.routes.flatMap(({method, path}) =>
		(service.models.length === 0 ? [''] : service.models).map(model => `${method} ${path} ${model}`.trim()))))
		.map(route => `the route "${route}" is offered twice`),
];

/**
 * Checks what no schema can: identifiers are unique, a key belongs to one
 * customer, services that are named exist, and each route leads to one service.
 *
 * @param document - document that fits its schema
 * @returns the document, or every fault in one failure
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
