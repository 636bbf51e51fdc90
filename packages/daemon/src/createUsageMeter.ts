import {Buffer} from 'node:buffer';
import {createUsageCounts} from '@damaskspool/core';
import {type UsageCounts} from '@damaskspool/shared';
import {z} from 'zod';

/** Number of trailing bytes kept from earlier chunks, because a usage object may begin in them. */
const TAIL_BYTES = 1024;
/** Start of the line that identifies a stream event carrying a token. */
const EVENT_ID_FIELD = Buffer.from('\nid:');
/** Key of a usage object. In generated text the quotes would be escaped, so it cannot match there. */
const USAGE_FIELD = Buffer.from('"usage":');

const reportedUsageSchema = z.object({
	prompt_tokens: z.number().nonnegative(),
	completion_tokens: z.number().nonnegative().default(0),
	prompt_tokens_details: z.object({cached_tokens: z.number().nonnegative().default(0)}).nullish(),
});

/** Options of {@link createUsageMeter}. */
export type UsageMeterOptions = {
	readonly kind: 'model' | 'plain';
	/** Whether the attempt resumes a stream, so that its prompt is prefilled again. */
	readonly isResumed: boolean;
	/** Prompt size to use if the target generates tokens but reports no usage. */
	readonly promptTokens: number;
};

/** Counts the usage of one attempt. */
export type UsageMeter = {
	/** Records that the target began to respond. */
	readonly begin: (isStream: boolean) => void;
	/** Adds the next bytes of the response. */
	readonly add: (chunk: Uint8Array) => void;
	/** Returns the counts so far; `targetMs` is the time that the attempt has spent at the target. */
	readonly readCounts: (targetMs: number) => UsageCounts;
};

/**
 * Creates a meter that counts the usage of an attempt from the bytes of its response.
 * The entry and the sidecar both use it, so that their counts agree.
 */
export function createUsageMeter(options: UsageMeterOptions): UsageMeter {
	const {kind, isResumed, promptTokens} = options;
	let hasBegun = false;
	let isStream = false;
	let eventCount = 0;
	let reportedUsage: z.infer<typeof reportedUsageSchema> | undefined;
	// The body starts at the beginning of a line, so an `id:` field on its first line must match, too.
	let tail: Buffer = Buffer.from('\n');

	const countEvents = (text: Buffer, start: number) => {
		for (let offset = text.indexOf(EVENT_ID_FIELD, start); offset !== -1; offset = text.indexOf(EVENT_ID_FIELD, offset + 1)) {
			eventCount += 1;
		}
	};

	return {
		begin(hasEvents) {
			hasBegun = true;
			isStream = hasEvents;
		},
		add(chunk) {
			if (kind === 'plain') {
				return;
			}

			const text = Buffer.concat([tail, chunk]);
			// Fields that end within the tail were counted with the previous chunk.
			countEvents(text, Math.max(0, tail.length - EVENT_ID_FIELD.length + 1));
			reportedUsage = parseReportedUsage(text) ?? reportedUsage;
			tail = Buffer.from(text.subarray(-TAIL_BYTES));
		},
		readCounts(targetMs) {
			if (!hasBegun) {
				return createUsageCounts();
			}

			if (kind === 'plain') {
				return createUsageCounts({calls: 1, targetMs});
			}

			const generatedTokens = isStream ? eventCount : reportedUsage?.completion_tokens ?? 0;
			const attemptPromptTokens = reportedUsage?.prompt_tokens ?? (generatedTokens > 0 ? promptTokens : 0);
			return createUsageCounts({
				...(isResumed ? {repeatedPromptTokens: attemptPromptTokens} : {requests: 1, promptTokens: attemptPromptTokens}),
				cachedTokens: isResumed ? 0 : reportedUsage?.prompt_tokens_details?.cached_tokens ?? 0,
				generatedTokens,
				targetMs,
			});
		},
	};
}

/** Parses the last usage object in a text; returns undefined if there is none or it is incomplete. The object nests at most one level deep. */
function parseReportedUsage(text: Buffer): z.infer<typeof reportedUsageSchema> | undefined {
	const offset = text.lastIndexOf(USAGE_FIELD);
	if (offset === -1) {
		return undefined;
	}

	const match = /^\s*\{(?:[^\{\}]|\{[^\{\}]*\})*\}/v.exec(text.toString('utf8', offset + USAGE_FIELD.length));
	try {
		return match === null ? undefined : reportedUsageSchema.safeParse(JSON.parse(match[0])).data;
	} catch {
		return undefined;
	}
}
