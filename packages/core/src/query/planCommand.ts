/** Converts commands of the operators' language into configuration edits. */
import {
	type CommandStatement, type ConfigurationDocument, type ConfigurationEdit, createFailure, customerSchema, Err, ERROR_CODES,
	type Failure, MEBIBYTE_BYTES, Ok, type Result, SECOND_MS, serviceSchema,
} from '@damaskspool/shared';
import {applyEdits} from '../configuration/applyEdits.js';

/** Configuration edits that a command results in. */
export type CommandPlan = {
	readonly edits: readonly ConfigurationEdit[];
	/** Lines that describe the changes to the operator. */
	readonly preview: readonly string[];
};

/** Options whose value is always a list, even if the command gives a single value. */
const LIST_OPTIONS = new Set(['services', 'models']);

type EditResult = Result<ConfigurationEdit, Failure>;
type CommandPlanner = (document: ConfigurationDocument, command: CommandStatement) => EditResult;

/** Service options that apply to the service's route. */
const ROUTE_OPTIONS = new Set(['method', 'path', 'access', 'repeatable', 'deadlineMs', 'bodyLimitBytes']);

const COMMAND_PLANNERS: Readonly<Record<string, CommandPlanner>> = {
	'create customer'(document, {name, options}) {
		return findCustomer(document, name) === undefined
			? parseCustomer({customerId: name, keyHashes: [], ...options})
			: refuse(`customer "${name}" already exists; use change`);
	},
	'change customer'(document, {name, options}) {
		const customer = findCustomer(document, name);
		return customer === undefined ? refuseUnknown('customer', name) : parseCustomer({...customer, ...options});
	},
	'withdraw customer': (_document, {name}) => Ok({type: 'removeCustomer', customerId: name}),
	'create key': (_document, {name, owner = ''}) => Ok({type: 'issueKey', customerId: owner, keyHash: name}),
	'withdraw key'(document, {name, owner}) {
		const matches = document.customers
			.filter(({customerId}) => owner === undefined || owner === customerId)
			.flatMap(({customerId, keyHashes}) => keyHashes
				.filter(keyHash => keyHash.startsWith(name))
				.map(keyHash => ({customerId, keyHash})));
		const [only] = matches;
		return only === undefined || matches.length > 1
			? refuse(`"${name}" matches ${matches.length} keys; see query keys`)
			: Ok({type: 'withdrawKey', ...only});
	},
	'create service'(document, {name, options}) {
		if (findService(document, name) !== undefined) {
			return refuse(`service "${name}" already exists; use change`);
		}

		const isModel = options.kind === 'model';
		const route = {
			method: 'POST',
			path: isModel ? '/v1/chat/completions' : undefined,
			access: 'keyed',
			repeatable: isModel,
			deadlineMs: 60 * SECOND_MS,
			bodyLimitBytes: 4 * MEBIBYTE_BYTES,
			...selectOptions(options, option => ROUTE_OPTIONS.has(option)),
		};
		return parseService({serviceId: name, routes: [route], ...selectOptions(options, option => !ROUTE_OPTIONS.has(option))});
	},
	'change service'(document, {name, options}) {
		const service = findService(document, name);
		if (service === undefined) {
			return refuseUnknown('service', name);
		}

		const routeChanges = selectOptions(options, option => ROUTE_OPTIONS.has(option));
		const routes = service.routes.map((route, index) => index === 0 ? {...route, ...routeChanges} : route);
		return parseService({...service, routes, ...selectOptions(options, option => !ROUTE_OPTIONS.has(option))});
	},
	'withdraw service': (_document, {name}) => Ok({type: 'removeService', serviceId: name}),
	'create model'(document, {name, owner = ''}) {
		const service = findService(document, owner);
		return service === undefined
			? refuseUnknown('service', owner)
			: parseService({...service, models: [...new Set([...service.models, name])]});
	},
	'withdraw model'(document, {name, owner = ''}) {
		const service = findService(document, owner);
		return service?.models.includes(name)
			? parseService({...service, models: service.models.filter(model => model !== name)})
			: refuse(`service "${owner}" does not offer the model "${name}"`);
	},
};

/**
 * Plans the configuration edits of a command, and validates them against the
 * current configuration.
 *
 * @param document - current configuration
 * @returns the edits, or a `query_invalid` failure if the command does not apply
 */
export function planCommand(document: ConfigurationDocument, command: CommandStatement): Result<CommandPlan, Failure> {
	const planEdit = COMMAND_PLANNERS[`${command.verb} ${command.thing}`];
	if (planEdit === undefined) {
		return Err(createFailure(ERROR_CODES.queryInvalid, {detail: `a ${command.thing} does not support the verb ${command.verb}`}));
	}

	const options = Object.fromEntries(Object.entries(command.options).map(([option, value]) =>
		[option, LIST_OPTIONS.has(option) && !Array.isArray(value) ? [String(value)] : value]));
	return planEdit(document, {...command, options}).andThen(edit => applyEdits(document, [edit]).map(after => ({
		edits: [edit],
		preview: formatDifference(document, after),
	})));
}

function formatDifference(before: ConfigurationDocument, after: ConfigurationDocument): string[] {
	return [
		...formatListDifference(
			'customer',
			new Map(before.customers.map(customer => [customer.customerId, JSON.stringify(customer)])),
			new Map(after.customers.map(customer => [customer.customerId, JSON.stringify(customer)])),
		),
		...formatListDifference(
			'service',
			new Map(before.services.map(service => [service.serviceId, JSON.stringify(service)])),
			new Map(after.services.map(service => [service.serviceId, JSON.stringify(service)])),
		),
	];
}

function formatListDifference(thing: string, before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): string[] {
	const lines: string[] = [];
	for (const id of new Set([...before.keys(), ...after.keys()])) {
		const [oldText, newText] = [before.get(id), after.get(id)];
		if (oldText !== newText) {
			lines.push(
				...(oldText === undefined ? [] : [`- ${thing} ${id} ${oldText}`]),
				...(newText === undefined ? [] : [`+ ${thing} ${id} ${newText}`]),
			);
		}
	}

	return lines;
}

function parseCustomer(value: unknown): EditResult {
	const checked = customerSchema.safeParse(value);
	return checked.success ? Ok({type: 'setCustomer', customer: checked.data}) : refuse(formatIssues(checked.error));
}

function parseService(value: unknown): EditResult {
	const checked = serviceSchema.safeParse(value);
	return checked.success ? Ok({type: 'setService', service: checked.data}) : refuse(formatIssues(checked.error));
}

function formatIssues({issues}: {readonly issues: ReadonlyArray<{readonly path: readonly PropertyKey[]; readonly message: string}>}): string {
	return issues.map(({path, message}) => path.length === 0 ? message : `${path.join('.')}: ${message}`).join('; ');
}

function selectOptions(options: CommandStatement['options'], isSelected: (option: string) => boolean) {
	return Object.fromEntries(Object.entries(options).filter(([option]) => isSelected(option)));
}

function findCustomer(document: ConfigurationDocument, customerId: string) {
	return document.customers.find(customer => customer.customerId === customerId);
}

function findService(document: ConfigurationDocument, serviceId: string) {
	return document.services.find(service => service.serviceId === serviceId);
}

function refuseUnknown(thing: string, name: string): EditResult {
	return refuse(`${thing} "${name}" does not exist`);
}

function refuse(detail: string): EditResult {
	return Err(createFailure(ERROR_CODES.queryInvalid, {detail}));
}
