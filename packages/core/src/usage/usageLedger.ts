import {
	type AttemptUsage, type StoredUsageLedger, USAGE_AMOUNTS, type UsageLedger, type UsageRow,
} from '@damaskspool/shared';
import {hasSequence, mergeSequences} from './sequenceRanges.js';
import {sumUsageRows} from './usageCounts.js';

/**
 * Creates the ledger of a run that has stored nothing.
 *
 * @param ledgerId - the run of an entry
 * @returns an empty ledger
 */
export function createUsageLedger(ledgerId: string): UsageLedger {
	return {
		ledgerId, settled: [], claimed: [], open: [], frozenThrough: 0, frozen: [],
	};
}

/**
 * Puts a ledger into the form in which it is stored.
 *
 * @param ledger - the ledger
 * @returns its compact form, which the schema reads back
 */
export function toStoredLedger(ledger: UsageLedger): StoredUsageLedger {
	return {
		...ledger,
		open: ledger.open.map(row => toStoredRow(row)),
		frozen: ledger.frozen.map(({window, rows}) => ({window, rows: rows.map(row => toStoredRow(row))})),
	};
}

function toStoredRow(row: UsageRow): StoredUsageLedger['open'][number] {
	return [row.customerId, row.serviceId, row.servedIn, ...USAGE_AMOUNTS.map(amount => row[amount])];
}

/**
 * Tells whether an attempt's usage is in a ledger, by whichever way it came.
 *
 * @param ledger - the ledger
 * @param sequence - number of the attempt
 * @returns whether it must not be counted again
 */
export function isAccounted(ledger: UsageLedger, sequence: number): boolean {
	return hasSequence(ledger.settled, sequence) || hasSequence(ledger.claimed, sequence);
}

/**
 * Adds attempts of the entry itself to its ledger.
 *
 * @param ledger - the ledger
 * @param attempts - attempts whose figures are final
 * @returns the ledger to store; attempts that are in it already change nothing
 */
export function settleAttempts(ledger: UsageLedger, attempts: readonly AttemptUsage[]): UsageLedger {
	const newAttempts = attempts.filter(({sequence}) => !isAccounted(ledger, sequence));
	return {
		...ledger,
		settled: mergeSequences(ledger.settled, newAttempts.map(({sequence}) => sequence)),
		open: sumUsageRows([...ledger.open, ...newAttempts.flatMap(attempt => toRows(attempt))]),
	};
}

/** Options of {@link planFrozenLedger}. */
export type FreezeLedgerOptions = {
	readonly ledger: UsageLedger;
	readonly window: number;
	/** Attempts of this ledger that sidecars stored. */
	readonly orphans: readonly AttemptUsage[];
	/** Tells whether the seal of an earlier window has this ledger among its sources. */
	readonly isSealed: (window: number) => boolean;
};

/**
 * Sets a ledger's usage aside for a window that is to be sealed, once: rows
 * that are frozen for a window never change, so that everybody who seals the
 * window finds the same figures. What an earlier seal left out comes along and
 * keeps the window in which it was served.
 *
 * @param options - ledger, window, what sidecars stored, and earlier seals
 * @returns the ledger to store, or the same object where nothing is to change
 */
export function planFrozenLedger(options: FreezeLedgerOptions): UsageLedger {
	const {ledger, window, orphans, isSealed} = options;
	if (ledger.frozenThrough >= window) {
		return ledger;
	}

	const claimed = selectUnaccounted(ledger, orphans.filter(orphan => orphan.servedIn <= window));
	const unsealedRows = ledger.frozen.filter(frozen => !isSealed(frozen.window)).flatMap(({rows}) => rows);
	const dueRows = ledger.open.filter(row => row.servedIn <= window);
	const rows = sumUsageRows([...unsealedRows, ...dueRows, ...claimed.flatMap(attempt => toRows(attempt))]);
	if (rows.length === 0 && claimed.length === 0) {
		return ledger;
	}

	return {
		...ledger,
		claimed: mergeSequences(ledger.claimed, claimed.map(({sequence}) => sequence)),
		open: ledger.open.filter(row => row.servedIn > window),
		frozenThrough: window,
		frozen: [{window, rows}],
	};
}

function selectUnaccounted(ledger: UsageLedger, orphans: readonly AttemptUsage[]): AttemptUsage[] {
	const bySequence = new Map(orphans.map(orphan => [orphan.sequence, orphan]));
	return [...bySequence.values()].filter(({sequence}) => !isAccounted(ledger, sequence));
}

/** Leaves the attempt's identity out; an attempt that used nothing leaves no row. */
function toRows({ledgerId, sequence, ...row}: AttemptUsage): UsageRow[] {
	const {customerId, serviceId, servedIn, ...counts} = row;
	return Object.values(counts).some(amount => amount > 0) ? [row] : [];
}
