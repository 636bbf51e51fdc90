/** Objects by which usage is counted, sealed and reported. See docs/design/0008-usage.md. */
import {z} from 'zod';

const amountSchema = z.number().nonnegative();

/** What one or more attempts used. All amounts only ever add up. */
export const usageCountsSchema = z.object({
	/** Attempts of a model service that its target answered from the start. */
	requests: amountSchema,
	/** Attempts of a plain service that its target answered. */
	calls: amountSchema,
	promptTokens: amountSchema,
	/** Prompt tokens worked through once more to resume a stream; not the customer's to pay. */
	repeatedPromptTokens: amountSchema,
	/** Part of the prompt tokens that the target had cached. */
	cachedTokens: amountSchema,
	generatedTokens: amountSchema,
	/** Time for which targets worked. */
	targetMs: amountSchema,
});

/** See {@link usageCountsSchema}. */
export type UsageCounts = z.infer<typeof usageCountsSchema>;

/** What one customer used of one service. */
export const usageRowSchema = usageCountsSchema.extend({
	customerId: z.string(),
	serviceId: z.string(),
	/** Start of the window in which it was used; earlier than that of the report where it came late. */
	servedIn: z.number(),
});

/** See {@link usageRowSchema}. */
export type UsageRow = z.infer<typeof usageRowSchema>;

/** Names of all amounts, in the order in which rows are stored and reports show them. */
export const USAGE_AMOUNTS = [
	'requests', 'calls', 'promptTokens', 'repeatedPromptTokens', 'cachedTokens', 'generatedTokens', 'targetMs',
] as const satisfies ReadonlyArray<keyof UsageCounts>;

/** A row as ledgers hold it, without names: an entry that serves every customer stays within the limit of one object. */
type StoredUsageRow = [customerId: string, serviceId: string, servedIn: number, ...amounts: number[]];

// Checked by hand: a ledger may hold thousands of rows, and is read on the loop that serves requests.
const storedUsageRowSchema = z.custom<StoredUsageRow>(value => Array.isArray(value)
	&& value.length === USAGE_AMOUNTS.length + 3
	&& value.every((cell, index) => typeof cell === (index < 2 ? 'string' : 'number'))).transform(parseStoredUsageRow);

function parseStoredUsageRow([customerId, serviceId, servedIn, ...amounts]: StoredUsageRow): UsageRow {
	const [requests = 0, calls = 0, promptTokens = 0, repeatedPromptTokens = 0, cachedTokens = 0, generatedTokens = 0, targetMs = 0] = amounts;
	return {
		customerId, serviceId, servedIn, requests, calls, promptTokens, repeatedPromptTokens, cachedTokens, generatedTokens, targetMs,
	};
}

/** Sequence numbers as closed ranges, ascending and apart. */
export const sequenceRangesSchema = z.array(z.tuple([z.number().int(), z.number().int()]));

/** See {@link sequenceRangesSchema}. */
export type SequenceRanges = z.infer<typeof sequenceRangesSchema>;

/** The usage that one run of an entry stored: one object, changed by conditional update. */
export const usageLedgerSchema = z.object({
	ledgerId: z.string(),
	/** Attempts whose usage the entry stored. */
	settled: sequenceRangesSchema,
	/** Attempts whose usage was taken from the sidecar, as the entry had not stored it. */
	claimed: sequenceRangesSchema,
	/** Usage that is in no window yet. */
	open: z.array(storedUsageRowSchema),
	/** Last window for which usage was set aside: a window is frozen once. */
	frozenThrough: z.number(),
	/** Usage set aside for a window; never changed once it is there. */
	frozen: z.array(z.object({window: z.number(), rows: z.array(storedUsageRowSchema)})),
});

/** See {@link usageLedgerSchema}. */
export type UsageLedger = z.output<typeof usageLedgerSchema>;
/** A ledger in the form in which it is stored. */
export type StoredUsageLedger = z.input<typeof usageLedgerSchema>;

/** An attempt as its sidecar counted it. */
export const attemptUsageSchema = usageRowSchema.extend({
	ledgerId: z.string(),
	sequence: z.number().int(),
});

/** See {@link attemptUsageSchema}. */
export type AttemptUsage = z.infer<typeof attemptUsageSchema>;

/** Attempts that no entry settled in time, as a sidecar stored them; written once. */
export const usageOrphansSchema = z.object({attempts: z.array(attemptUsageSchema)});

/** Usage of attempts that nobody may have counted. */
export const unaccountedUsageSchema = z.object({
	ledgerId: z.string(),
	/** Attempts below the last known one that neither the entry nor a sidecar stored. */
	attempts: z.number().int(),
});

/** The one statement of a window's figures; created once, never changed. */
export const usageSealSchema = z.object({
	window: z.number(),
	windowMs: z.number(),
	region: z.string(),
	/** Names the parts that hold the figures. */
	sealId: z.string(),
	partCount: z.number().int(),
	/** Ledgers whose frozen rows are in the figures. */
	sources: z.array(z.string()),
	totals: usageCountsSchema,
	unaccounted: z.array(unaccountedUsageSchema),
});

/** See {@link usageSealSchema}. */
export type UsageSeal = z.infer<typeof usageSealSchema>;

/** A part of a window's figures. */
export const usagePartSchema = z.object({rows: z.array(usageRowSchema)});

/** How far a region's windows are sealed and acknowledged. */
export const usageProgressSchema = z.object({sealedThrough: z.number(), reportedThrough: z.number()});

/** See {@link usageProgressSchema}. */
export type UsageProgress = z.infer<typeof usageProgressSchema>;

/** What an entry tells a sidecar of their common attempts, and asks. */
export const usageSettlementSchema = z.strictObject({
	ledgerId: z.string(),
	/** Attempts whose usage is stored: the sidecar may forget them. */
	settled: z.array(z.number().int()),
	/** Attempts whose figures the entry wants to compare. */
	asked: z.array(z.number().int()),
});

/** See {@link usageSettlementSchema}. */
export type UsageSettlement = z.infer<typeof usageSettlementSchema>;

/** A sidecar's figures for the attempts that it was asked for. One that still runs is left out; one unknown has no counts. */
export const usageFiguresSchema = z.object({
	figures: z.array(z.object({sequence: z.number().int(), counts: usageCountsSchema.optional()})),
});

/** See {@link usageFiguresSchema}. */
export type UsageFigures = z.infer<typeof usageFiguresSchema>;

/** Names the object of a ledger. */
export const toLedgerKey = (region: string, ledgerId: string): string => `usage/${region}/ledger/${ledgerId}`;
/** Prefix of the small objects that name the ledgers, so that a list of them stays small. */
export const toLedgerNamePrefix = (region: string): string => `usage/${region}/ledger-name/`;
/** Prefix of what sidecars stored. */
export const toOrphansPrefix = (region: string): string => `usage/${region}/orphans/`;
/** Names the seal of a window. */
export const toSealKey = (region: string, window: number): string => `usage/${region}/seal/${window}`;
/** Names a part of a window's figures. */
export const toPartKey = (region: string, seal: Pick<UsageSeal, 'window' | 'sealId'>, part: number): string =>
	`usage/${region}/part/${seal.window}/${seal.sealId}/${part}`;
/** Names the object that tells how far a region's windows are sealed and reported. */
export const toProgressKey = (region: string): string => `usage/${region}/progress`;
