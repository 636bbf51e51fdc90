import {type Buffer} from 'node:buffer';
import {randomInt, randomUUID} from 'node:crypto';
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type RequestFacts} from '@damaskspool/core';
import {readBody} from '@damaskspool/runtime';
import {
	BYTES_PER_TOKEN, createFailure, Err, ERROR_CODES, type Failure, hashPrefixes, hashText, HEADERS, Ok, type Result,
} from '@damaskspool/shared';
import {hasKeyTrace, KEY_MIN_LENGTH, readPresentedKeys} from './keyTraces.js';

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
	const keys = readPresentedKeys(incoming);
	const url = incoming.url ?? '/';
	if (keys.length > 1) {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: 'two different keys'}));
	}

	if (!isPlainTarget(url)) {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: 'the path is not in its plain form'}));
	}

	const read = await readBody(incoming, bodyLimitBytes);
	if (read.err) {
		return read;
	}

	const body = read.val;
	const headers = selectHeaders(incoming.headers);
	if (hasKeyTrace(keys, {target: url, headerValues: Object.values(headers), body})) {
		return Err(createFailure(ERROR_CODES.keyInBody));
	}

	if (body.length > 0 && incoming.method === 'GET') {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: 'a GET has no body'}));
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
		keyHash: hashKey(keys[0]),
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

/** Stands for a key that is too short to be one; no hash of a key is like it. */
const SHORT_KEY_HASH = 'short';

/** Only the hash of a key is looked up, so the time of a look-up tells nothing of the keys that exist. */
function hashKey(key: string | undefined): string | undefined {
	if (key === undefined) {
		return undefined;
	}

	return key.length < KEY_MIN_LENGTH ? SHORT_KEY_HASH : hashText(key);
}

/**
 * Tells whether a path means the same to whoever reads it next. Dot segments,
 * backslashes and empty segments could lead a target to another route than the
 * one that was checked.
 */
function isPlainTarget(url: string): boolean {
	const [path = ''] = url.split('?', 1);
	const decoded = path.replaceAll(/%(?:2e)/giv, '.').replaceAll(/%(?:2f|5c)/giv, '/');
	return /^[\u0021-\u007E]+$/v.test(url)
		&& path.startsWith('/')
		&& !/[#\\]/v.test(url)
		&& !/\/(?:\.{0,2}(?:\/|;)|\.{1,2}$)/v.test(decoded);
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
