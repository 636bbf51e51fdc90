import {
	type AttemptUsage, type UsageLedger, type UsageProgress, type UsageRow, type UsageSeal,
} from '@damaskspool/shared';
import {type UsageSums} from './usageCounts.js';

/** Right to report for the region, as the lease gives it now. */
export type UsageAuthority = {
	readonly epoch: number;
	readonly remainingMs: number;
};

/** Call that a pass waits for. */
export type SealerPhase
	= | 'idle' | 'readProgress' | 'listNames' | 'listOrphans' | 'readLedger' | 'readEarlierSeal' | 'nameLedger' | 'writeLedger'
		| 'removeLedger' | 'removeName' | 'writePart' | 'writeSeal' | 'removeOrphans' | 'writeProgress' | 'readSeal' | 'readPart' | 'report';

/** What is gathered while one window is sealed. */
export type SealingPass = {
	readonly window: number;
	/** Sources of earlier seals, by window. */
	readonly sourcesByWindow: Map<number, ReadonlySet<string>>;
	ledgerNameVersions: Map<string, number>;
	pendingLedgerIds: string[];
	orphanObjects: Array<{readonly key: string; readonly version: number; readonly attempts: readonly AttemptUsage[]}>;
	ledger: UsageLedger;
	ledgerVersion: number;
	sums: UsageSums;
	sources: string[];
	unaccounted: UsageSeal['unaccounted'];
	/** Attempts of sidecars that are in some ledger now, as `ledger;sequence`. */
	accountedOrphans: Set<string>;
	/** Names this pass's parts, so that they never mix with those of another. */
	readonly sealId: string;
	parts: UsageRow[][];
	partIndex: number;
};

/** State of the duty's work. */
export type UsageSealerState = {
	readonly region: string;
	readonly instanceId: string;
	readonly runId: string;
	readonly windowMs: number;
	/** Wait after a window's end for counts that are still under way. */
	readonly graceMs: number;
	phase: SealerPhase;
	callId: string;
	callCount: number;
	wallMs: number;
	progress: UsageProgress;
	progressVersion: number;
	pass: SealingPass | undefined;
	currentReport: {seal: UsageSeal; partIndex: number} | undefined;
};

/** Options of {@link createUsageSealerState}. */
export type UsageSealerOptions = Pick<UsageSealerState, 'region' | 'instanceId' | 'runId' | 'windowMs' | 'graceMs'>;

/** What a step may use. */
export type SealerContext = {
	readonly nowMs: number;
	/** Undefined where the duty is not held now. */
	readonly authority: UsageAuthority | undefined;
};

/**
 * Creates the state of a process that seals nothing.
 *
 * @param options - region, identity and lengths
 * @returns the state
 */
export function createUsageSealerState(options: UsageSealerOptions): UsageSealerState {
	return {
		...options,
		phase: 'idle',
		callId: '',
		callCount: 0,
		wallMs: 0,
		progress: {sealedThrough: 0, reportedThrough: 0},
		progressVersion: 0,
		pass: undefined,
		currentReport: undefined,
	};
}
