import {
	type ConfigurationDocument, createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/** Finds what is wrong in a document, one kind of fault each. */
const FINDERS: ReadonlyArray<(document: ConfigurationDocument) => string[]> = [
	({services}) => findRepeated(services.map(service => service.serviceId)).map(id => `service "${id}" stands twice`),
	({customers}) => findRepeated(customers.map(customer => customer.customerId)).map(id => `customer "${id}" stands twice`),
	({customers}) => findRepeated(customers.flatMap(customer => [...new Set(customer.keyHashes)]))
		.map(hash => `the key with digest ${hash.slice(0, 8)}… belongs to two customers`),
	({services, customers}) => {
		const known = new Set(services.map(service => service.serviceId));
		return customers.flatMap(({customerId, services: allowed = []}) => allowed
			.filter(serviceId => !known.has(serviceId))
			.map(serviceId => `customer "${customerId}" names the unknown service "${serviceId}"`));
	},
	({services}) => findRepeated(services.flatMap(service => service.routes.flatMap(({method, path}) =>
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
	const faults = FINDERS.flatMap(find => find(document));
	return faults.length === 0 ? Ok(document) : Err(createFailure(ERROR_CODES.queryInvalid, {detail: faults.join('; ')}));
}

function findRepeated(names: readonly string[]): string[] {
	const seen = new Set<string>();
	const repeated = new Set<string>();
	for (const name of names) {
		(seen.has(name) ? repeated : seen).add(name);
	}

	return [...repeated];
}
