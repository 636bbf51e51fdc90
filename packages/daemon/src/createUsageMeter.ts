/** Counts what an answer used, from its bytes, in the same way at the entry and at the sidecar. */
import {Buffer} from 'node:buffer';
import {createUsageCounts} from '@damaskspool/core';
import {type UsageCounts} from '@damaskspool/shared';
import {z} from 'zod';

/** Bytes kept of what came before, in which a statement of usage may begin. */
const TAIL_BYTES = 1024;
/** Beginning of the line by which an event of a stream that carries a token is known. */
const EVENT_ID_FIELD = Buffer.from('\nid:');
/** A statement of usage; in generated text its quotes would be escaped. */
const USAGE_FIELD = Buffer.from('"usage":');

const reportedUsageSchema = z.object({
	prompt_tokens: z.number().nonnegative(),
	completion_tokens: z.number().nonnegative().default(0),
	prompt_tokens_details: z.object({cached_tokens: z.number().nonnegative().default(0)}).nullish(),
});

/** Options of {@link createUsageMeter}. */
export type UsageMeterOptions = {
	readonly kind: 'model' | 'plain';
	/** The attempt resumes a stream, so its prompt is worked through once more. */
	readonly isResumed: boolean;
	/** Prompt size to take where the target generates but states no usage. */
	readonly promptTokens: number;
};

/** Counts one attempt. */
export type UsageMeter = {
	/** The target began to answer. */
	readonly begin: (isStream: boolean) => void;
	/** Bytes of the answer in order. */
	readonly add: (chunk: Uint8Array) => void;
	readonly readCounts: (targetMs: number) => UsageCounts;
};

/**
 * Creates the meter of an attempt.
 *
 * @param options - what is known of the attempt before its answer
 * @returns the meter
 */
export function createUsageMeter(options: UsageMeterOptions): UsageMeter {
	const {kind, isResumed, promptTokens} = options;
	let hasBegun = false;
	let isStream = false;
	let eventCount = 0;
	let reportedUsage: z.infer<typeof reportedUsageSchema> | undefined;
	// As a body begins, a line begins.
	let tail: Buffer = Buffer.from('\n');

	const countEvents = (text: Buffer, from: number) => {
		for (let offset = text.indexOf(EVENT_ID_FIELD, from); offset !== -1; offset = text.indexOf(EVENT_ID_FIELD, offset + 1)) {
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
			// Fields that end within the tail were counted with the chunk before.
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

/** Finds the last whole statement of usage in a text; it nests no deeper than one level. */
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
