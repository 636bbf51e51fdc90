import {
	BURN_WINDOWS, type BurnCounts, type BurnState, type BurnWindowName, sumBurnCounts, sumBurnWindow,
} from './burnState.js';

/** Service level objectives: the share of requests that must be good, and how bad requests are counted. */
export const SERVICE_LEVELS = {
	firstToken: {objective: 0.95, countBad: ({lateFirst}: BurnCounts) => lateFirst},
	betweenTokens: {objective: 0.95, countBad: ({lateBetween}: BurnCounts) => lateBetween},
	success: {objective: 0.99, countBad: ({failed}: BurnCounts) => failed},
} as const;

/** One of {@link SERVICE_LEVELS}. */
export type ServiceLevelName = keyof typeof SERVICE_LEVELS;

/** Customer name for the total of all customers. */
export const ALL_CUSTOMERS = '*';

/** Counts of one customer and one service at one entry. */
export type BurnPart = {
	readonly customerId: string;
	readonly serviceId: string;
	readonly fast: BurnCounts;
	readonly slow: BurnCounts;
	readonly causes: Readonly<Record<string, number>>;
};

/** One line of the report. */
export type BurnLine = {
	readonly service: string;
	/** A customer identifier or {@link ALL_CUSTOMERS}. */
	readonly customer: string;
	readonly level: ServiceLevelName;
	/** Requests in the slow window. */
	readonly requests: number;
	readonly bad: number;
	/** Burn rate: how many times faster than allowed the error budget is spent. A rate of 1 spends it exactly. */
	readonly fastBurn: number;
	readonly slowBurn: number;
	/** Remaining share of the error budget of the slow window; negative if it is overspent. */
	readonly budgetLeft: number;
	/** Share of the bad requests of the service that belong to this customer. */
	readonly share: number;
	readonly why: string;
};

/**
 * Lists the counts of this entry by customer and service.
 *
 * @param state - service levels
 * @param nowMs - current time
 */
export function listBurnParts(state: BurnState, nowMs: number): BurnPart[] {
	return [...state.tallies.values()].map(tally => ({
		customerId: tally.customerId,
		serviceId: tally.serviceId,
		fast: sumBurnWindow(tally, 'fast', nowMs),
		slow: sumBurnWindow(tally, 'slow', nowMs),
		causes: Object.fromEntries(tally.causes),
	}));
}

/**
 * Computes the report from the counts of all entries. For each service and
 * objective it lists the service total, then the customers with bad requests in
 * descending order of these.
 */
export function computeBurnReport(parts: readonly BurnPart[]): BurnLine[] {
	const services = [...new Set(parts.map(({serviceId}) => serviceId))].toSorted((left, right) => left.localeCompare(right, 'en'));
	return services.flatMap(serviceId => {
		const serviceParts = parts.filter(part => part.serviceId === serviceId);
		const serviceTotal = mergeParts(ALL_CUSTOMERS, serviceId, serviceParts);
		const customers = [...new Set(serviceParts.map(({customerId}) => customerId))]
			.map(customerId => mergeParts(customerId, serviceId, serviceParts.filter(part => part.customerId === customerId)));
		return (Object.keys(SERVICE_LEVELS) as ServiceLevelName[]).flatMap(level => {
			const serviceLine = toBurnLine(serviceTotal, serviceTotal, level);
			const contributors = customers.map(customer => toBurnLine(customer, serviceTotal, level)).filter(({bad}) => bad > 0);
			return [serviceLine, ...contributors.toSorted((left, right) => right.bad - left.bad)];
		});
	});
}

function mergeParts(customerId: string, serviceId: string, parts: readonly BurnPart[]): BurnPart {
	const causes: Record<string, number> = {};
	for (const [cause, count] of parts.flatMap(part => Object.entries(part.causes))) {
		causes[cause] = (causes[cause] ?? 0) + count;
	}

	return {
		customerId,
		serviceId,
		fast: sumBurnCounts(parts.map(({fast}) => fast)),
		slow: sumBurnCounts(parts.map(({slow}) => slow)),
		causes,
	};
}

function toBurnLine(part: BurnPart, serviceTotal: BurnPart, level: ServiceLevelName): BurnLine {
	const {countBad} = SERVICE_LEVELS[level];
	const bad = countBad(part.slow);
	const slowBurn = computeBurnRate(part, 'slow', level);
	return {
		service: part.serviceId,
		customer: part.customerId,
		level,
		requests: part.slow.requests,
		bad,
		fastBurn: computeBurnRate(part, 'fast', level),
		slowBurn,
		budgetLeft: 1 - slowBurn,
		share: countBad(serviceTotal.slow) === 0 ? 0 : bad / countBad(serviceTotal.slow),
		why: bad === 0 ? '' : REASON_FORMATTERS[level](part),
	};
}

function computeBurnRate(part: BurnPart, window: BurnWindowName, level: ServiceLevelName): number {
	const {objective, countBad} = SERVICE_LEVELS[level];
	const counts = part[window];
	return counts.requests === 0 ? 0 : countBad(counts) / counts.requests / (1 - objective);
}

const REASON_FORMATTERS: Readonly<Record<ServiceLevelName, (part: BurnPart) => string>> = {
	firstToken: ({slow}) => `${slow.lateFirst} of ${slow.requests} had their first token after the goal`,
	betweenTokens: ({slow}) => `${slow.lateBetween} of ${slow.requests} were slower between tokens than the goal`,
	success: ({causes}) => Object.entries(causes)
		.toSorted(([, left], [, right]) => right - left)
		.map(([cause, count]) => `${cause} ${count} times`)
		.join(', '),
};

/** Computes the length of a window. */
export function computeBurnWindowMs(name: BurnWindowName): number {
	return BURN_WINDOWS[name].slotMs * BURN_WINDOWS[name].slots;
}
