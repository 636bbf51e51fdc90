import {
	type AttemptUsage, type UsageLedger, type UsageProgress, type UsageRow, type UsageSeal,
} from '@damaskspool/shared';
import {type UsageSums} from './usageCounts.js';

/** Current right to report for the region, as granted by the lease. */
export type UsageAuthority = {
	readonly epoch: number;
	readonly remainingMs: number;
};

/** The call whose reply a pass waits for, or `idle` outside a pass. */
export type SealerPhase
	= | 'idle' | 'readProgress' | 'listNames' | 'listOrphans' | 'readLedger' | 'readEarlierSeal' | 'nameLedger' | 'writeLedger'
		| 'removeLedger' | 'removeName' | 'writePart' | 'writeSeal' | 'removeOrphans' | 'writeProgress' | 'readSeal' | 'readPart' | 'report';

/** Data collected while one window is sealed. */
export type SealingPass = {
	readonly window: number;
	/** Ledgers that earlier seals include, by window. */
	readonly sourcesByWindow: Map<number, ReadonlySet<string>>;
	/** Versions of the ledgers' name objects, by ledger. */
	ledgerNameVersions: Map<string, number>;
	/** The ledger in progress, followed by those not processed yet. */
	pendingLedgerIds: string[];
	orphanObjects: Array<{readonly key: string; readonly version: number; readonly attempts: readonly AttemptUsage[]}>;
	ledger: UsageLedger;
	ledgerVersion: number;
	sums: UsageSums;
	sources: string[];
	unaccounted: UsageSeal['unaccounted'];
	/** Attempts from sidecars' objects that a ledger already includes, as `ledger;sequence`. */
	accountedOrphans: Set<string>;
	/** Identifies the parts that this pass writes, so they never mix with those of another pass. */
	readonly sealId: string;
	parts: UsageRow[][];
	partIndex: number;
};

/** State of sealing and reporting for a region. */
export type UsageSealerState = {
	readonly region: string;
	readonly instanceId: string;
	readonly runId: string;
	readonly windowMs: number;
	/** Time between a window's end and its sealing, in which late counts arrive. */
	readonly graceMs: number;
	phase: SealerPhase;
	callId: string;
	callCount: number;
	wallMs: number;
	progress: UsageProgress;
	progressVersion: number;
	pass: SealingPass | undefined;
	/** The sealed window that is being reported, and the part to report next. */
	currentReport: {seal: UsageSeal; partIndex: number} | undefined;
};

/** Options of {@link createUsageSealerState}. */
export type UsageSealerOptions = Pick<UsageSealerState, 'region' | 'instanceId' | 'runId' | 'windowMs' | 'graceMs'>;

/** Time and authority for a step. */
export type SealerContext = {
	readonly nowMs: number;
	/** Undefined if the duty is not held. */
	readonly authority: UsageAuthority | undefined;
};

/** Creates the state of a sealer that has not begun a pass. */
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
