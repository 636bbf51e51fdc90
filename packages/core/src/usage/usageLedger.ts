import {
	type AttemptUsage, type StoredUsageLedger, USAGE_AMOUNTS, type UsageLedger, type UsageRow,
} from '@damaskspool/shared';
import {hasSequence, mergeSequences} from './sequenceRanges.js';
import {sumUsageRows} from './usageCounts.js';

/**
 * Creates an empty ledger.
 *
 * @param ledgerId - identifies one process of an entry
 */
export function createUsageLedger(ledgerId: string): UsageLedger {
	return {
		ledgerId, settled: [], claimed: [], open: [], frozenThrough: 0, frozen: [],
	};
}

/** Converts a ledger to its compact stored form, which `usageLedgerSchema` parses. */
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
 * Checks whether a ledger includes an attempt, either settled by the entry or
 * claimed from the orphans of a sidecar. Such an attempt must not be counted again.
 */
export function isAccounted(ledger: UsageLedger, sequence: number): boolean {
	return hasSequence(ledger.settled, sequence) || hasSequence(ledger.claimed, sequence);
}

/**
 * Adds an entry's attempts to its ledger. Skips attempts that the ledger already includes.
 *
 * @param attempts - attempts whose figures are final
 * @returns the ledger to store
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
	/** Attempts of this ledger that sidecars stored as orphans. */
	readonly orphans: readonly AttemptUsage[];
	/** Checks whether the seal of an earlier window includes this ledger. */
	readonly isSealed: (window: number) => boolean;
};

/**
 * Freezes a ledger's usage for a window that is to be sealed. This happens once
 * per window: frozen rows never change, so every entry that seals the window
 * finds the same figures. Rows that an earlier seal left out are included and
 * keep the window in which they were used.
 *
 * @returns the ledger to store, or the same object if nothing changes
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

/** Removes the attempt's identity. Returns no row for an attempt without usage. */
function toRows({ledgerId, sequence, ...row}: AttemptUsage): UsageRow[] {
	const {customerId, serviceId, servedIn, ...counts} = row;
	return Object.values(counts).some(amount => amount > 0) ? [row] : [];
}
