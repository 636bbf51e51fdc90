import {type Buffer} from 'node:buffer';
import {randomInt, randomUUID} from 'node:crypto';
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type RequestFacts} from '@damaskspool/core';
import {readBody} from '@damaskspool/runtime';
import {
	BYTES_PER_TOKEN, createFailure, Err, ERROR_CODES, type Failure, hashPrefixes, hashText, HEADERS, Ok, type Result,
} from '@damaskspool/shared';

/** A caller's request, read whole and cleared of its key. */
export type CallerRequest = {
	readonly facts: RequestFacts;
	readonly body: Buffer;
	/** Path and query for the target. */
	readonly target: string;
	/** Headers for the target. */
	readonly headers: Readonly<Record<string, string>>;
};

/** Headers of a caller that reach a target; any other, and so any copy of the key, stays here. */
const FORWARDED_HEADERS = ['accept', 'accept-language', 'content-type', 'user-agent', HEADERS.idempotencyKey] as const;
/** Shortest key that is looked for in other places; shorter text may stand there by chance. */
const KEY_SEARCH_MIN_LENGTH = 8;
/** Tokens that a request may generate where it does not say. */
const DEFAULT_MAX_TOKENS = 256;
/** Seeds are 32-bit numbers. */
const SEED_RANGE = 2 ** 32;

/**
 * Reads a caller's request. The key goes no further than this function: only
 * its hash is returned, and a request that carries the key anywhere else is refused.
 *
 * @param incoming - request of node:http
 * @param bodyLimitBytes - most bytes of body
 * @returns what was read, or why it is refused
 */
export async function readCallerRequest(
	incoming: IncomingMessage,
	bodyLimitBytes: number,
): Promise<Result<CallerRequest, Failure>> {
	const key = readKey(incoming.headers);
	const read = await readBody(incoming, bodyLimitBytes);
	if (read.err) {
		return read;
	}

	const body = read.val;
	const headers = selectHeaders(incoming.headers);
	const url = incoming.url ?? '/';
	if (key !== undefined && isCarryingKey(key, [url, ...Object.values(headers)], body)) {
		return Err(createFailure(ERROR_CODES.keyInBody));
	}

	const parsed = parseBody(incoming, body);
	if (parsed.err) {
		return parsed;
	}

	const {model, max_tokens: maxTokens, stream, priority} = parsed.val;
	const facts: RequestFacts = {
		requestId: randomUUID(),
		method: incoming.method ?? 'GET',
		path: url.split('?', 1)[0] ?? '/',
		keyHash: key === undefined ? undefined : hashText(key),
		modelId: typeof model === 'string' ? model : undefined,
		bodyBytes: body.length,
		promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
		maxTokens: typeof maxTokens === 'number' && maxTokens > 0 ? Math.ceil(maxTokens) : DEFAULT_MAX_TOKENS,
		isStream: stream === true,
		priority: priority === 'batch' ? 'batch' : 'interactive',
		bodyDigest: hashText(body.toString('latin1')),
		idempotencyKey: headers[HEADERS.idempotencyKey],
		prefixHashes: typeof model === 'string' ? hashPrefixes(model, readPrompt(parsed.val)) : [],
		randomSeed: randomInt(SEED_RANGE),
	};
	return Ok({
		facts, body, target: url, headers,
	});
}

/** Reads the text that a model engine caches: the contents of all messages, or the prompt. */
function readPrompt({messages, prompt}: Record<string, unknown>): string {
	if (!Array.isArray(messages)) {
		return typeof prompt === 'string' ? prompt : '';
	}

	return messages
		.map((message: {content?: unknown} | null) => typeof message?.content === 'string' ? message.content : '')
		.join('\n');
}

/** Reads the key from `Authorization: Bearer` or `x-api-key`, the two places that callers' clients use. */
function readKey(headers: IncomingHttpHeaders): string | undefined {
	const bearer = /^Bearer +(?<key>\S+)$/iv.exec(headers.authorization ?? '')?.groups?.key;
	const other = headers['x-api-key'];
	return bearer ?? (typeof other === 'string' && other !== '' ? other : undefined);
}

function selectHeaders(headers: IncomingHttpHeaders): Record<string, string> {
	const selected: Record<string, string> = {};
	for (const name of FORWARDED_HEADERS) {
		const value = headers[name];
		if (typeof value === 'string') {
			selected[name] = value;
		}
	}

	return selected;
}

function isCarryingKey(key: string, texts: readonly string[], body: Buffer): boolean {
	if (key.length < KEY_SEARCH_MIN_LENGTH) {
		return false;
	}

	const isInText = texts.some(text => text.includes(key) || decodePercent(text).includes(key));
	return isInText || body.includes(key) || decodeJsonEscapes(body).includes(key);
}

function decodePercent(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}

/** A key can hide from a plain search behind `\uXXXX` escapes; parsed and written again it cannot. */
function decodeJsonEscapes(body: Buffer): string {
	if (!body.includes(String.raw`\u`)) {
		return '';
	}

	try {
		return JSON.stringify(JSON.parse(body.toString('utf8')));
	} catch {
		return '';
	}
}

function parseBody(incoming: IncomingMessage, body: Buffer): Result<Record<string, unknown>, Failure> {
	if (body.length === 0 && incoming.method !== 'POST') {
		return Ok({});
	}

	try {
		const parsed: unknown = JSON.parse(body.toString('utf8'));
		if (typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed)) {
			return Ok(parsed as Record<string, unknown>);
		}
	} catch {
		// Said below: text that does not parse and JSON that is no object are refused alike.
	}

	return Err(createFailure(ERROR_CODES.bodyNotJson));
}
