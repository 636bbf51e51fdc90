/**
 * Retry budgets: retries of a service may be at most a share of its recent
 * successes, so that a fault of many targets is not answered by a multiple of
 * the load. Counts decay, so that only recent outcomes matter.
 */

/** Recent outcomes of one service. */
export type RetryBudget = {
	successes: number;
	retries: number;
	/** When the counts were last decayed. */
	decayedAtMs: number;
};

/** Budgets by service. */
export type RetryBudgets = Map<string, RetryBudget>;

/** Retries as a share of recent successes; load rises by a fifth at most. */
const MAX_RETRY_RATIO = 0.2;
/** Retries that are allowed without any success, so that the loss of one busy target can be mended at once. */
const RETRY_ALLOWANCE = 32;
/** Time in which counts fall to 1/e. */
const DECAY_MS = 10_000;

/**
 * Takes one retry from the budget of a service, if there is one left.
 *
 * @param budgets - budgets of an entry, changed
 * @param serviceId - service of the request
 * @param nowMs - present time
 * @returns whether the retry may be made
 */
export function takeRetry(budgets: RetryBudgets, serviceId: string, nowMs: number): boolean {
	const budget = getBudget(budgets, serviceId, nowMs);
	if (budget.retries + 1 > RETRY_ALLOWANCE + (budget.successes * MAX_RETRY_RATIO)) {
		return false;
	}

	budget.retries += 1;
	return true;
}

/**
 * Counts a whole answer.
 *
 * @param budgets - budgets of an entry, changed
 * @param serviceId - service that answered
 * @param nowMs - present time
 */
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
