import {type TouchedRequests} from './touchedRequests.js';

/** Kinds of differences between two versions. */
export const CHANGE_KINDS = {added: 'added', removed: 'removed', changed: 'changed'} as const;

/** One of {@link CHANGE_KINDS}. */
export type ChangeKind = typeof CHANGE_KINDS[keyof typeof CHANGE_KINDS];

/** Parts of a configuration whose records are compared. */
export const CHANGED_PARTS = {
	route: 'route', service: 'service', customer: 'customer', limits: 'limits', keys: 'keys',
} as const;

/** One of {@link CHANGED_PARTS}. */
export type ChangedPart = typeof CHANGED_PARTS[keyof typeof CHANGED_PARTS];

/** A difference between the version in force and a draft. */
export type ConfigurationChange = {
	readonly kind: ChangeKind;
	readonly part: ChangedPart;
	/** Name of the route, service or customer; empty for limits and keys, of which there is one set. */
	readonly name: string;
	/** Field of the record; undefined if the whole record was added or removed. */
	readonly field: string | undefined;
	/** Value in force. Of keys, only their number is told. */
	readonly before: string | undefined;
	readonly after: string | undefined;
	/** Running requests that it touches. */
	readonly touched: TouchedRequests;
	/** Names of routes whose running requests are meant; undefined if they are those of the record itself, or of all. */
	readonly touchedRoutes: readonly string[] | undefined;
	/** Route that gets the requests instead, or got them before; undefined if there is none, or if that is not what changed. */
	readonly otherRoute: string | undefined;
};
