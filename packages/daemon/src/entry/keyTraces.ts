/**
 * Finds API keys in the content of a request that would be forwarded to a target. The keys that the caller presents are
 * searched for literally. Other issued keys are recognized by their prefix.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {API_KEY_PREFIX} from '@damaskspool/shared';

/** Layers of percent-encoding that are decoded. A target usually decodes once, so a key below more layers stays encoded. */
const PERCENT_LAYERS = 3;
/**
 * Minimum length of an accepted key, in characters. A shorter key could occur in a request by chance, so it could not be
 * told apart from ordinary content.
 */
export const MIN_KEY_LENGTH = 8;
/** Matches an issued key anywhere in a text. */
const ISSUED_KEY_PATTERN = new RegExp(String.raw`${API_KEY_PREFIX}[\w\-]{${MIN_KEY_LENGTH},}`, 'v');

/** Content of a request that would be forwarded to a target. */
export type ForwardedContent = {
	readonly pathAndQuery: string;
	readonly headerValues: readonly string[];
	readonly body: Buffer;
};

/**
 * Returns the distinct API keys that a request presents in its `Authorization` and `X-Api-Key` headers, in order. Repeated
 * headers are included.
 */
export function readPresentedKeys({rawHeaders}: IncomingMessage): string[] {
	const keys = new Set<string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const value = rawHeaders[index + 1]!.trim();
		const bearer = /^Bearer +(?<key>\S+)$/iv.exec(value)?.groups?.key;
		const key = name === 'authorization' ? bearer : (name === 'x-api-key' ? value : '');
		if (key !== undefined && key !== '') {
			keys.add(key);
		}
	}

	return [...keys];
}

/**
 * Returns whether the forwarded content contains one of the presented keys or any issued key: literally, percent-encoded
 * (path, query and headers) or with JSON escapes (body).
 *
 * @param keys - keys that the request presents
 */
export function hasKeyInForwardedContent(keys: readonly string[], content: ForwardedContent): boolean {
	const texts = [content.pathAndQuery, ...content.headerValues].flatMap(text => listDecodedLayers(text));
	const isInPathOrHeaders = texts.some(text => ISSUED_KEY_PATTERN.test(text) || keys.some(key => text.includes(key)));
	return isInPathOrHeaders || hasKeyInBody(keys, content.body);
}

function hasKeyInBody(keys: readonly string[], body: Buffer): boolean {
	if (body.includes(API_KEY_PREFIX) && ISSUED_KEY_PATTERN.test(body.toString('latin1'))) {
		return true;
	}

	if (keys.some(key => body.includes(key, 0, 'latin1'))) {
		return true;
	}

	const hasEscapableCharacter = keys.some(key => /["\/\\]/v.test(key));
	if (!body.includes(String.raw`\u00`) && !hasEscapableCharacter) {
		return false;
	}

	const text = decodeJsonEscapes(body.toString('latin1'));
	return ISSUED_KEY_PATTERN.test(text) || keys.some(key => text.includes(key));
}

/** Returns the text, followed by its decoded form after each layer of percent-encoding. */
function listDecodedLayers(text: string): string[] {
	const layers = [text];
	for (let layer = 0; layer < PERCENT_LAYERS && text.includes('%'); layer += 1) {
		// Each sequence is decoded separately: an invalid sequence must not hide the others.
		const decoded = layers.at(-1)!.replaceAll(/%(?<code>[\da-f]{2})/giv, (_, code: string) =>
			String.fromCodePoint(Number.parseInt(code, 16)));
		layers.push(decoded);
	}

	return layers;
}

/** Decodes escapes in the raw JSON text. `JSON.parse` would drop all but the last of several members with the same name. */
function decodeJsonEscapes(text: string): string {
	return text.replaceAll(/\\(?:u(?<code>[\da-f]{4})|(?<char>.))/giv, (_, code: string | undefined, char: string | undefined) =>
		code === undefined ? char ?? '' : String.fromCodePoint(Number.parseInt(code, 16)));
}
