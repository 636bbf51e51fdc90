/**
 * Finds API keys in the parts of a request that would reach a target. The
 * caller's own key is known and is searched for as it is; any other key that was
 * issued is known by its prefix.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {API_KEY_PREFIX} from '@damaskspool/shared';

/** Times that percent-encoding is undone; a further layer is no key to whoever decodes the usual once. */
const PERCENT_LAYERS = 3;
/** Shortest key that is accepted; shorter text may stand anywhere by chance and could not be kept from targets. */
export const KEY_MIN_LENGTH = 8;
/** An issued key, wherever it stands. */
const ISSUED_KEY = new RegExp(String.raw`${API_KEY_PREFIX}[\w\-]{${KEY_MIN_LENGTH},}`, 'v');

/** A part of a request that a target would be given. */
export type RequestPlaces = {
	/** Path and query. */
	readonly target: string;
	readonly headerValues: readonly string[];
	readonly body: Buffer;
};

/**
 * Reads every API key that a request presents, from the two headers that callers' clients use.
 *
 * @param incoming - request of node:http
 * @returns the different keys, in order; repeated headers are read too
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
 * Tells whether a key stands anywhere in what a target would be given, plainly
 * or behind percent-encoding or JSON escapes.
 *
 * @param keys - keys that the request presents
 * @param places - what the target would be given
 * @returns whether one of these keys, or any issued key, is there
 */
export function hasKeyTrace(keys: readonly string[], places: RequestPlaces): boolean {
	const texts = [places.target, ...places.headerValues].flatMap(text => listDecoded(text));
	const isInHead = texts.some(text => ISSUED_KEY.test(text) || keys.some(key => text.includes(key)));
	return isInHead || isInBody(keys, places.body);
}

function isInBody(keys: readonly string[], body: Buffer): boolean {
	if (body.includes(API_KEY_PREFIX) && ISSUED_KEY.test(body.toString('latin1'))) {
		return true;
	}

	if (keys.some(key => body.includes(key, 0, 'latin1'))) {
		return true;
	}

	const hasSpecial = keys.some(key => /["\/\\]/v.test(key));
	if (!body.includes(String.raw`\u00`) && !hasSpecial) {
		return false;
	}

	const text = decodeJsonEscapes(body.toString('latin1'));
	return ISSUED_KEY.test(text) || keys.some(key => text.includes(key));
}

/** The text, and what is left of it as each layer of percent-encoding is undone. */
function listDecoded(text: string): string[] {
	const layers = [text];
	for (let layer = 0; layer < PERCENT_LAYERS && text.includes('%'); layer += 1) {
		// Sequence by sequence: one that is not valid must not hide the others.
		const decoded = layers.at(-1)!.replaceAll(/%(?<code>[\da-f]{2})/giv, (_, code: string) =>
			String.fromCodePoint(Number.parseInt(code, 16)));
		layers.push(decoded);
	}

	return layers;
}

/** Undoes escapes on the text itself: a parser would drop all but the last of members with one name. */
function decodeJsonEscapes(text: string): string {
	return text.replaceAll(/\\(?:u(?<code>[\da-f]{4})|(?<char>.))/giv, (_, code: string | undefined, char: string | undefined) =>
		code === undefined ? char ?? '' : String.fromCodePoint(Number.parseInt(code, 16)));
}
