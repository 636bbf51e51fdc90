import {type IncomingHttpHeaders} from 'node:http';
import {type Work} from '@damaskspool/core';
import {HEADERS} from '@damaskspool/shared';
import {z} from 'zod';

const workHeadersSchema = z.object({
	[HEADERS.requestId]: z.string().min(1).max(128),
	[HEADERS.attemptId]: z.string().min(1).max(160),
	[HEADERS.customerId]: z.string().min(1),
	[HEADERS.weight]: z.coerce.number().positive().default(1),
	[HEADERS.priority]: z.enum(['interactive', 'batch']),
	[HEADERS.remainingMs]: z.coerce.number().nonnegative(),
	[HEADERS.promptTokens]: z.coerce.number().int().nonnegative(),
	[HEADERS.prefillTokens]: z.coerce.number().int().nonnegative().optional(),
	[HEADERS.maxTokens]: z.coerce.number().int().nonnegative(),
	[HEADERS.fingerprint]: z.string(),
});

/**
 * Parses the headers of an attempt.
 *
 * @param nowMs - time of receipt; the deadline is this time plus the remaining time in the headers
 * @returns the work; undefined if a header is missing or invalid
 */
export function parseWork(headers: IncomingHttpHeaders, nowMs: number): Work | undefined {
	const {data} = workHeadersSchema.safeParse(headers);
	if (data === undefined) {
		return undefined;
	}

	return {
		requestId: data[HEADERS.requestId],
		attemptId: data[HEADERS.attemptId],
		customerId: data[HEADERS.customerId],
		weight: data[HEADERS.weight],
		priority: data[HEADERS.priority],
		promptTokens: data[HEADERS.promptTokens],
		prefillTokens: data[HEADERS.prefillTokens] ?? data[HEADERS.promptTokens],
		maxTokens: data[HEADERS.maxTokens],
		deadlineAtMs: nowMs + data[HEADERS.remainingMs],
		fingerprint: data[HEADERS.fingerprint],
	};
}
