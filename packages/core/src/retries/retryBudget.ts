/**
 * Retry budgets by service. The retries of a service are limited to a ratio of its
 * recent successes, so that retries cannot multiply the load when many targets
 * fail. The counts decay exponentially, so only recent outcomes matter.
 */

/** Recent outcomes of one service. */
export type RetryBudget = {
	successes: number;
	retries: number;
	/** Time at which the decay was last applied to the counts. */
	decayedAtMs: number;
};

/** Budgets by service. */
export type RetryBudgets = Map<string, RetryBudget>;

/** Retries as a ratio of recent successes: retries add at most a fifth to the load. */
const MAX_RETRY_RATIO = 0.2;
/** Retries that are permitted without any success, so that the requests in progress on one busy target can be retried immediately when it fails. */
const RETRY_ALLOWANCE = 32;
/** Time in which the counts decay to 1/e. */
const DECAY_MS = 10_000;

/**
 * Takes one retry from the budget of a service, if one is left. Changes the
 * budgets in place.
 *
 * @returns whether the request may be retried
 */
export function takeRetry(budgets: RetryBudgets, serviceId: string, nowMs: number): boolean {
	const budget = getBudget(budgets, serviceId, nowMs);
	if (budget.retries + 1 > RETRY_ALLOWANCE + (budget.successes * MAX_RETRY_RATIO)) {
		return false;
	}

	budget.retries += 1;
	return true;
}

/** Adds a complete response to the successes of a service. Changes the budgets in place. */
export function recordSuccess(budgets: RetryBudgets, serviceId: string, nowMs: number): void {
	getBudget(budgets, serviceId, nowMs).successes += 1;
}

function getBudget(budgets: RetryBudgets, serviceId: string, nowMs: number): RetryBudget {
	let budget = budgets.get(serviceId);
	if (budget === undefined) {
		budget = {successes: 0, retries: 0, decayedAtMs: nowMs};
		budgets.set(serviceId, budget);
	}

	const factor = Math.exp((budget.decayedAtMs - nowMs) / DECAY_MS);
	budget.successes *= factor;
	budget.retries *= factor;
	budget.decayedAtMs = nowMs;
	return budget;
}
