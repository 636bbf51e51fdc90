import {type QueryRow} from '@damaskspool/shared';
import {type EntryState} from '../reducer/entryState.js';

/** Location of the rows of a source. */
export type QueryScope
	/** Every entry has all rows. */
	= | 'oneEntry'
	/** Each entry has some of the rows. */
		| 'everyEntry'
	/** The rows are stored in the platform's object API. */
		| 'store';

/** A source of rows for queries. */
export type QuerySource = {
	readonly scope: QueryScope;
	readonly columns: readonly string[];
	/** Column that identifies a row across entries. Rows with the same value are duplicates. */
	readonly key?: string;
};

const USAGE_COLUMNS = [
	'window',
	'servedIn',
	'customer',
	'service',
	'requests',
	'calls',
	'promptTokens',
	'repeatedPromptTokens',
	'cachedTokens',
	'generatedTokens',
	'targetMs',
] as const;

/** Query sources by name. */
export const QUERY_SOURCES = {
	targets: {
		scope: 'everyEntry',
		key: 'target',
		columns: ['target', 'service', 'availabilityZone', 'state', 'role', 'running', 'waiting', 'freePieces', 'isLeaving'],
	},
	instances: {
		scope: 'everyEntry', key: 'instance', columns: ['instance', 'kind', 'availabilityZone', 'address', 'revision'],
	},
	customers: {scope: 'oneEntry', columns: ['customer', 'keys', 'weight', 'requestsPerSecond', 'tokensPerSecond', 'operator', 'services']},
	keys: {scope: 'oneEntry', columns: ['key', 'customer']},
	services: {scope: 'oneEntry', columns: ['service', 'kind', 'models', 'routes', 'firstTokenGoalMs', 'betweenTokensGoalMs', 'targets']},
	models: {scope: 'oneEntry', columns: ['model', 'service', 'targets']},
	requests: {scope: 'everyEntry', key: 'request', columns: ['request', 'entry', 'customer', 'service', 'state', 'ageMs', 'attempts', 'target']},
	duties: {scope: 'everyEntry', key: 'duty', columns: ['duty', 'holder', 'epoch']},
	events: {scope: 'everyEntry', columns: ['at', 'instance', 'event', 'subject', 'detail']},
	quarantine: {scope: 'everyEntry', key: 'fingerprint', columns: ['fingerprint', 'entry', 'crashes']},
	usage: {scope: 'store', columns: USAGE_COLUMNS},
	cost: {scope: 'store', columns: ['customer', 'service', 'targetHours', 'cost']},
} as const satisfies Readonly<Record<string, QuerySource>>;

/** A key of {@link QUERY_SOURCES}. */
export type QuerySourceName = keyof typeof QUERY_SOURCES;

type StateSourceName = Exclude<QuerySourceName, 'usage' | 'cost' | 'events' | 'quarantine'>;

const STATE_ROW_LISTERS: Readonly<Record<StateSourceName, (state: EntryState, nowMs: number) => QueryRow[]>> = {
	targets: ({membership}) => [...membership.targets.values()].map(target => ({
		target: target.targetId,
		service: target.serviceId,
		availabilityZone: target.availabilityZone,
		state: target.load?.state ?? 'unknown',
		role: target.load?.role ?? 'unknown',
		running: target.load?.running ?? 0,
		waiting: target.load?.waiting ?? 0,
		freePieces: target.load?.freePieces ?? 0,
		isLeaving: target.isLeaving,
	})),

	instances: ({instanceId, availabilityZone, configuration, membership}) => [
		{
			instance: instanceId, kind: 'entry', availabilityZone, address: '', revision: configuration.revision,
		},
		...[...membership.targets.values()].map(target => ({
			instance: target.targetId, kind: 'target', availabilityZone: target.availabilityZone, address: target.address, revision: 0,
		})),
	],

	customers: ({configuration}) => [...configuration.customers.values()].map(customer => ({
		customer: customer.customerId,
		keys: customer.keyHashes.length,
		weight: customer.weight,
		requestsPerSecond: customer.requestsPerSecond ?? '',
		tokensPerSecond: customer.tokensPerSecond ?? '',
		operator: customer.operator,
		services: customer.services?.join(' ') ?? 'all',
	})),

	keys: ({configuration}) => [...configuration.customerIdByKeyHash].map(([keyHash, customerId]) => ({
		key: toShortKeyHash(keyHash), customer: customerId,
	})),

	services: ({configuration, membership}) => [...configuration.services.values()].map(service => ({
		service: service.serviceId,
		kind: service.kind,
		models: service.models.length,
		routes: service.routes.map(({method, path}) => `${method} ${path}`).join(', '),
		firstTokenGoalMs: service.firstTokenGoalMs,
		betweenTokensGoalMs: service.betweenTokensGoalMs,
		targets: [...membership.targets.values()].filter(({serviceId}) => serviceId === service.serviceId).length,
	})),

	models: ({configuration, membership}) => [...configuration.services.values()].flatMap(service => service.models.map(model => ({
		model,
		service: service.serviceId,
		targets: [...membership.targets.values()].filter(({load}) => load?.models.includes(model)).length,
	}))),

	requests: ({instanceId, requests}, nowMs) => [...requests.values()].map(record => ({
		request: record.attributes.requestId,
		entry: instanceId,
		customer: record.customerId,
		service: record.service.serviceId,
		state: String(record.snapshot.value),
		ageMs: Math.round(nowMs - record.receivedAtMs),
		attempts: record.attemptCount,
		target: record.attempt?.targetId ?? '',
	})),

	duties: ({instanceId, lease}, nowMs) => [...lease.duties.values()]
		.filter(({held}) => held !== undefined && nowMs < held.expiresAtMs)
		.map(({name, held}) => ({duty: name, holder: instanceId, epoch: held?.epoch ?? 0})),
};

/**
 * Lists the rows of a source that this entry holds in its reducer state.
 *
 * @returns an empty list for a source whose rows are not in the reducer state
 */
export function listStateRows(state: EntryState, source: QuerySourceName, nowMs: number): QueryRow[] {
	const listRows = (STATE_ROW_LISTERS as Readonly<Partial<Record<QuerySourceName, typeof STATE_ROW_LISTERS.targets>>>)[source];
	return listRows?.(state, nowMs) ?? [];
}

/**
 * Merges the rows of several entries. If the source has a key column, keeps the
 * first row of each key.
 *
 * @param parts - rows of each entry; the local entry comes first
 */
export function mergeQueryRows(source: QuerySourceName, parts: ReadonlyArray<readonly QueryRow[]>): QueryRow[] {
	const {key} = QUERY_SOURCES[source] as QuerySource;
	if (key === undefined) {
		return parts.flat();
	}

	const rows = new Map<unknown, QueryRow>();
	for (const row of parts.flat()) {
		if (!rows.has(row[key])) {
			rows.set(row[key], row);
		}
	}

	return [...rows.values()];
}

/** Returns the first 12 digits of a key's hash. Operators identify a key by them, and the key itself stays secret. */
export function toShortKeyHash(keyHash: string): string {
	return keyHash.slice(0, 12);
}
