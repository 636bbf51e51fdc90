import {
	type ConfigurationDocument, type ConfigurationEdit, createFailure, type CustomerConfiguration, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';
import {checkDocument} from './checkDocument.js';

type EditResult = Result<ConfigurationDocument, Failure>;
type EditHandlers = {
	readonly [Type in ConfigurationEdit['type']]: (document: ConfigurationDocument, edit: Extract<ConfigurationEdit, {type: Type}>) => EditResult;
};

const EDIT_HANDLERS: EditHandlers = {
	setService: (document, {service}) => Ok({
		...document,
		services: [...document.services.filter(({serviceId}) => serviceId !== service.serviceId), service],
	}),
	removeService(document, {serviceId}) {
		const services = document.services.filter(service => service.serviceId !== serviceId);
		return services.length === document.services.length ? refuseEdit(`service "${serviceId}" does not exist`) : Ok({...document, services});
	},
	setCustomer: (document, {customer}) => Ok({
		...document,
		customers: [...document.customers.filter(({customerId}) => customerId !== customer.customerId), customer],
	}),
	removeCustomer(document, {customerId}) {
		const customers = document.customers.filter(customer => customer.customerId !== customerId);
		return customers.length === document.customers.length ? refuseEdit(`customer "${customerId}" does not exist`) : Ok({...document, customers});
	},
	issueKey: (document, {customerId, keyHash}) => updateCustomer(document, customerId, customer => ({
		...customer,
		keyHashes: [...new Set([...customer.keyHashes, keyHash])],
	})),
	withdrawKey: (document, {customerId, keyHash}) => updateCustomer(document, customerId, customer => ({
		...customer,
		keyHashes: customer.keyHashes.filter(hash => hash !== keyHash),
	})),
	setDocument: (_document, {document}) => Ok(document),
};

/**
 * Applies edits to a document in order and checks the resulting document.
 *
 * @returns the new document, or `query_invalid` if an edit names an unknown
 *   service or customer or if the result is not valid
 */
export function applyEdits(document: ConfigurationDocument, edits: readonly ConfigurationEdit[]): EditResult {
	let result: EditResult = Ok(document);
	for (const edit of edits) {
		const handle = EDIT_HANDLERS[edit.type] as (document: ConfigurationDocument, edit: ConfigurationEdit) => EditResult;
		result = result.andThen(current => handle(current, edit));
	}

	return result.andThen(current => checkDocument(current));
}

function updateCustomer(
	document: ConfigurationDocument,
	customerId: string,
	update: (customer: CustomerConfiguration) => CustomerConfiguration,
): EditResult {
	const index = document.customers.findIndex(customer => customer.customerId === customerId);
	const customer = document.customers[index];
	return customer === undefined
		? refuseEdit(`customer "${customerId}" does not exist`)
		: Ok({...document, customers: document.customers.with(index, update(customer))});
}

function refuseEdit(detail: string): EditResult {
	return Err(createFailure(ERROR_CODES.queryInvalid, {detail}));
}
