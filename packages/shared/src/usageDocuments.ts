/** Documents with which usage is counted, sealed and reported. A window is identified by its start, in epoch milliseconds. See docs/design/0008-usage.md. */
import {z} from 'zod';
import {createListSchema} from './createListSchema.js';

const amountSchema = z.number().nonnegative();

/** Schema of the usage of one or more attempts. Amounts are summed up and never decrease. */
export const usageCountsSchema = z.object({
	/** Number of model service attempts to which the target responded. Attempts that resume a stream are not counted. */
	requests: amountSchema,
	/** Number of plain service attempts to which the target responded. */
	calls: amountSchema,
	promptTokens: amountSchema,
	/** Prompt tokens processed again to resume a stream. The customer is not charged for them. */
	repeatedPromptTokens: amountSchema,
	/** Prompt tokens that were in the target's prefix cache. Included in `promptTokens`. */
	cachedTokens: amountSchema,
	generatedTokens: amountSchema,
	/** Time that targets spent on the attempts, in milliseconds. */
	targetMs: amountSchema,
});

/** See {@link usageCountsSchema}. */
export type UsageCounts = z.infer<typeof usageCountsSchema>;

/** Schema of one customer's usage of one service. */
export const usageRowSchema = usageCountsSchema.extend({
	customerId: z.string(),
	serviceId: z.string(),
	/** Start of the window in which the usage occurred, in epoch milliseconds. Usage that was stored late is reported with a later window. */
	servedIn: z.number(),
});

/** See {@link usageRowSchema}. */
export type UsageRow = z.infer<typeof usageRowSchema>;

/** Names of all amounts, in the order used in stored rows and in reports. */
export const USAGE_AMOUNTS = [
	'requests', 'calls', 'promptTokens', 'repeatedPromptTokens', 'cachedTokens', 'generatedTokens', 'targetMs',
] as const satisfies ReadonlyArray<keyof UsageCounts>;

/** Row as stored in a ledger. The tuple omits field names so that the ledger of an entry that serves all customers fits in one object. */
type StoredUsageRow = [customerId: string, serviceId: string, servedIn: number, ...amounts: number[]];

// Validated without nested schemas for speed: a ledger can hold thousands of rows, and is parsed on the event loop that serves requests.
const storedUsageRowSchema = z.custom<StoredUsageRow>(value => Array.isArray(value)
	&& value.length === USAGE_AMOUNTS.length + 3
	&& value.every((cell, index) => typeof cell === (index < 2 ? 'string' : 'number'))).transform(parseStoredUsageRow);

function parseStoredUsageRow([customerId, serviceId, servedIn, ...amounts]: StoredUsageRow): UsageRow {
	const [requests = 0, calls = 0, promptTokens = 0, repeatedPromptTokens = 0, cachedTokens = 0, generatedTokens = 0, targetMs = 0] = amounts;
	return {
		customerId, serviceId, servedIn, requests, calls, promptTokens, repeatedPromptTokens, cachedTokens, generatedTokens, targetMs,
	};
}

/** Schema of a set of sequence numbers as closed ranges, in ascending order and separated by gaps. */
export const sequenceRangesSchema = createListSchema(z.tuple([z.number().int(), z.number().int()]));

/** See {@link sequenceRangesSchema}. */
export type SequenceRanges = z.infer<typeof sequenceRangesSchema>;

/** Schema of a usage ledger: the usage stored by one run of an entry. One object, changed by conditional updates. */
export const usageLedgerSchema = z.object({
	/** Identifies the run of the entry. */
	ledgerId: z.string(),
	/** Sequence numbers of the attempts whose usage was stored by the entry. */
	settled: sequenceRangesSchema,
	/** Sequence numbers of the attempts whose usage was taken from a sidecar because the entry did not store it. */
	claimed: sequenceRangesSchema,
	/** Usage that is not yet frozen for a window. */
	open: createListSchema(storedUsageRowSchema),
	/** Start of the last window for which usage was frozen. Usage is frozen at most once for a window. */
	frozenThrough: z.number(),
	/** Usage frozen for a window. It never changes afterwards. */
	frozen: createListSchema(z.object({window: z.number(), rows: createListSchema(storedUsageRowSchema)})),
});

/** See {@link usageLedgerSchema}. */
export type UsageLedger = z.output<typeof usageLedgerSchema>;
/** Ledger in its stored form. */
export type StoredUsageLedger = z.input<typeof usageLedgerSchema>;

/** Schema of the usage of an attempt as counted by the sidecar. */
export const attemptUsageSchema = usageRowSchema.extend({
	ledgerId: z.string(),
	/** Sequence number of the attempt in its ledger. */
	sequence: z.number().int(),
});

/** See {@link attemptUsageSchema}. */
export type AttemptUsage = z.infer<typeof attemptUsageSchema>;

/** Schema of the attempts that no entry settled in time. Written once by a sidecar. */
export const usageOrphansSchema = z.object({attempts: createListSchema(attemptUsageSchema)});

/** Schema of the number of attempts of a ledger whose usage may be missing from the counts. */
export const unaccountedUsageSchema = z.object({
	ledgerId: z.string(),
	/** Number of attempts below the last known sequence number that neither the entry nor a sidecar stored. */
	attempts: z.number().int(),
});

/** Schema of a seal: the final statement of a window's usage. Created once and never changed. */
export const usageSealSchema = z.object({
	/** Start of the window, in epoch milliseconds. */
	window: z.number(),
	/** Length of the window, in milliseconds. */
	windowMs: z.number(),
	region: z.string(),
	/** Identifier contained in the keys of the seal's parts. */
	sealId: z.string(),
	partCount: z.number().int(),
	/** Ledgers whose frozen rows are included. */
	sources: createListSchema(z.string()),
	totals: usageCountsSchema,
	unaccounted: createListSchema(unaccountedUsageSchema),
});

/** See {@link usageSealSchema}. */
export type UsageSeal = z.infer<typeof usageSealSchema>;

/** Schema of one part of a window's usage rows. */
export const usagePartSchema = z.object({rows: createListSchema(usageRowSchema)});

/** Schema of a region's progress: start of the last sealed window, and of the last window whose report was acknowledged. */
export const usageProgressSchema = z.object({sealedThrough: z.number(), reportedThrough: z.number()});

/** See {@link usageProgressSchema}. */
export type UsageProgress = z.infer<typeof usageProgressSchema>;

/** Schema of an entry's message to a sidecar about the attempts that both counted. */
export const usageSettlementSchema = z.strictObject({
	ledgerId: z.string(),
	/** Sequence numbers of the attempts whose usage is stored. The sidecar may discard them. */
	settled: createListSchema(z.number().int()),
	/** Sequence numbers of the attempts whose usage counts the entry requests for comparison. */
	asked: createListSchema(z.number().int()),
});

/** See {@link usageSettlementSchema}. */
export type UsageSettlement = z.infer<typeof usageSettlementSchema>;

/** Schema of a sidecar's usage counts for the requested attempts. Running attempts are omitted; unknown attempts have no `counts`. */
export const usageFiguresSchema = z.object({
	figures: createListSchema(z.object({sequence: z.number().int(), counts: usageCountsSchema.optional()})),
});

/** See {@link usageFiguresSchema}. */
export type UsageFigures = z.infer<typeof usageFiguresSchema>;

/** Returns the key of a ledger. */
export const toLedgerKey = (region: string, ledgerId: string): string => `usage/${region}/ledger/${ledgerId}`;
/** Returns the key prefix of the empty objects that name the ledgers. Listing these instead of the ledgers keeps the reply small. */
export const toLedgerNamePrefix = (region: string): string => `usage/${region}/ledger-name/`;
/** Returns the key prefix of the attempts that sidecars stored. */
export const toOrphansPrefix = (region: string): string => `usage/${region}/orphans/`;
/** Returns the key of a window's seal. */
export const toSealKey = (region: string, window: number): string => `usage/${region}/seal/${window}`;
/** Returns the key of one part of a window's usage rows. */
export const toPartKey = (region: string, seal: Pick<UsageSeal, 'window' | 'sealId'>, part: number): string =>
	`usage/${region}/part/${seal.window}/${seal.sealId}/${part}`;
/** Returns the key of a region's progress. */
export const toProgressKey = (region: string): string => `usage/${region}/progress`;
