import {type AllotmentRecord} from '../allotments/allotmentRecord.js';
import {type ServiceRecord, type ServingConfiguration} from '../serving/servingRecords.js';

/** A customer of a draft. */
export type CustomerDraft = {
	readonly customerId: string;
	readonly keys: readonly string[];
	readonly priority: number | undefined;
	/** A rate of zero sets no limit. */
	readonly allotment: AllotmentRecord;
};

/**
 * A configuration that was decoded but not accepted yet. Beside what an entry would use, it holds what an entry would
 * drop: services and customers whose identifier another one has, and keys that belong to several customers.
 */
export type ConfigurationDraft = {
	readonly configuration: ServingConfiguration;
	/** In the order of the file. */
	readonly services: readonly ServiceRecord[];
	/** In the order of the file. Undefined if the configuration names no customers, so that no route needs a key. */
	readonly customers: readonly CustomerDraft[] | undefined;
	/** Indexes of the routes that name a service beside their shares. Only the shares are used. */
	readonly routesWithUnusedService: readonly number[];
};

/**
 * Place in a draft: `routes`, `services`, `customers` or `limits`, then an index or the name of a field, as in
 * the records of the draft. `['routes', 2, 'timeoutMs']` is the timeout of the third route.
 */
export type ConfigurationPath = ReadonlyArray<string | number>;
