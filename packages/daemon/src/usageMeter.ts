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

const statedUsageSchema = z.object({
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
	let isBegun = false;
	let isStream = false;
	let events = 0;
	let stated: z.infer<typeof statedUsageSchema> | undefined;
	// As a body begins, a line begins.
	let tail: Buffer = Buffer.from('\n');

	const countEvents = (text: Buffer, from: number) => {
		for (let at = text.indexOf(EVENT_ID_FIELD, from); at !== -1; at = text.indexOf(EVENT_ID_FIELD, at + 1)) {
			events += 1;
		}
	};

	return {
		begin(hasEvents) {
			isBegun = true;
			isStream = hasEvents;
		},
		add(chunk) {
			if (kind === 'plain') {
				return;
			}

			const text = Buffer.concat([tail, chunk]);
			// Fields that end within the tail were counted with the chunk before.
			countEvents(text, Math.max(0, tail.length - EVENT_ID_FIELD.length + 1));
			stated = parseStatedUsage(text) ?? stated;
			tail = Buffer.from(text.subarray(-TAIL_BYTES));
		},
		readCounts(targetMs) {
			if (!isBegun) {
				return createUsageCounts();
			}

			if (kind === 'plain') {
				return createUsageCounts({calls: 1, targetMs});
			}

			const generatedTokens = isStream ? events : stated?.completion_tokens ?? 0;
			const prompt = stated?.prompt_tokens ?? (generatedTokens > 0 ? promptTokens : 0);
			return createUsageCounts({
				...(isResumed ? {repeatedPromptTokens: prompt} : {requests: 1, promptTokens: prompt}),
				cachedTokens: isResumed ? 0 : stated?.prompt_tokens_details?.cached_tokens ?? 0,
				generatedTokens,
				targetMs,
			});
		},
	};
}

/** Finds the last whole statement of usage in a text; it nests no deeper than one level. */
function parseStatedUsage(text: Buffer): z.infer<typeof statedUsageSchema> | undefined {
	const at = text.lastIndexOf(USAGE_FIELD);
	if (at === -1) {
		return undefined;
	}

	const statement = /^\s*\{(?:[^\{\}]|\{[^\{\}]*\})*\}/v.exec(text.toString('utf8', at + USAGE_FIELD.length));
	try {
		return statement === null ? undefined : statedUsageSchema.safeParse(JSON.parse(statement[0])).data;
	} catch {
		return undefined;
	}
}
