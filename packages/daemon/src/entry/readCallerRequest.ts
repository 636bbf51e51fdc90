import {type Buffer} from 'node:buffer';
import {randomInt, randomUUID} from 'node:crypto';
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type RequestAttributes} from '@damaskspool/core';
import {readBody} from '@damaskspool/runtime';
import {
	BYTES_PER_TOKEN, createFailure, Err, ERROR_CODES, type Failure, hashPrefixes, hashText, HEADERS, Ok, type Result,
} from '@damaskspool/shared';
import {hasKeyInForwardedContent, MIN_KEY_LENGTH, readPresentedKeys} from './keyTraces.js';

/** A caller's request, read completely and without its API key. */
export type CallerRequest = {
	readonly attributes: RequestAttributes;
	readonly body: Buffer;
	/** Path and query of the request to the target. */
	readonly pathAndQuery: string;
	/** Headers of the request to the target. */
	readonly headers: Readonly<Record<string, string>>;
};

/** Headers of a caller that are forwarded to a target. All others are dropped, including every header that carries the key. */
const FORWARDED_HEADERS = ['accept', 'accept-language', 'content-type', 'user-agent', HEADERS.idempotencyKey] as const;
/** Limit of generated tokens for a request that states none. */
const DEFAULT_MAX_TOKENS = 256;
/** Exclusive upper bound of random seeds, which are 32-bit numbers. */
const SEED_RANGE = 2 ** 32;

/**
 * Reads a caller's request. The API key does not leave this function: only its hash is returned, and a request that
 * carries a key outside the two key headers is refused.
 *
 * @returns the request, or the failure with which to refuse it
 */
export async function readCallerRequest(
	incoming: IncomingMessage,
	maxBodyBytes: number,
): Promise<Result<CallerRequest, Failure>> {
	const keys = readPresentedKeys(incoming);
	const url = incoming.url ?? '/';
	if (keys.length > 1) {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: 'the request presents two different keys'}));
	}

	if (!isPlainTarget(url)) {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: 'the path is not normalized'}));
	}

	const read = await readBody(incoming, maxBodyBytes);
	if (read.err) {
		return read;
	}

	const body = read.val;
	const headers = selectForwardedHeaders(incoming.headers);
	if (hasKeyInForwardedContent(keys, {pathAndQuery: url, headerValues: Object.values(headers), body})) {
		return Err(createFailure(ERROR_CODES.keyInBody));
	}

	if (body.length > 0 && incoming.method === 'GET') {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: 'a GET request must not have a body'}));
	}

	const parsed = parseBody(incoming, body);
	if (parsed.err) {
		return parsed;
	}

	const {model, max_tokens: maxTokens, stream, priority} = parsed.val;
	const attributes: RequestAttributes = {
		requestId: randomUUID(),
		method: incoming.method ?? 'GET',
		path: url.split('?', 1)[0] ?? '/',
		keyHash: hashKey(keys[0]),
		modelId: typeof model === 'string' ? model : undefined,
		bodyBytes: body.length,
		promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
		maxTokens: typeof maxTokens === 'number' && maxTokens > 0 ? Math.ceil(maxTokens) : DEFAULT_MAX_TOKENS,
		isStream: stream === true,
		priority: priority === 'batch' ? 'batch' : 'interactive',
		bodyDigest: hashText(body.toString('latin1')),
		idempotencyKey: headers[HEADERS.idempotencyKey],
		prefixHashes: typeof model === 'string' ? hashPrefixes(model, readPromptText(parsed.val)) : [],
		randomSeed: randomInt(SEED_RANGE),
	};
	return Ok({
		attributes, body, pathAndQuery: url, headers,
	});
}

/** Returns the text whose prefix a model engine caches: the contents of all messages, or the prompt. */
function readPromptText({messages, prompt}: Record<string, unknown>): string {
	if (!Array.isArray(messages)) {
		return typeof prompt === 'string' ? prompt : '';
	}

	return messages
		.map((message: {content?: unknown} | null) => typeof message?.content === 'string' ? message.content : '')
		.join('\n');
}

/** Replaces the hash of a key that is too short to be valid. It differs from every hash. */
const SHORT_KEY_HASH = 'short';

/** Returns the hash of a key. Keys are looked up by hash only, so that the timing of a look-up reveals nothing about existing keys. */
function hashKey(key: string | undefined): string | undefined {
	if (key === undefined) {
		return undefined;
	}

	return key.length < MIN_KEY_LENGTH ? SHORT_KEY_HASH : hashText(key);
}

/**
 * Returns whether a path is normalized, so that a target resolves it to the route that was checked here. Dot segments,
 * backslashes and empty segments could lead the target to another route.
 */
function isPlainTarget(url: string): boolean {
	const [path = ''] = url.split('?', 1);
	const decoded = path.replaceAll(/%(?:2e)/giv, '.').replaceAll(/%(?:2f|5c)/giv, '/');
	return /^[\u0021-\u007E]+$/v.test(url)
		&& path.startsWith('/')
		&& !/[#\\]/v.test(url)
		&& !/\/(?:\.{0,2}(?:\/|;)|\.{1,2}$)/v.test(decoded);
}

function selectForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
	const selected: Record<string, string> = {};
	for (const name of FORWARDED_HEADERS) {
		const value = headers[name];
		if (typeof value === 'string') {
			selected[name] = value;
		}
	}

	return selected;
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
		// Falls through: invalid JSON is refused in the same way as JSON that is not an object.
	}

	return Err(createFailure(ERROR_CODES.bodyNotJson));
}
