import {createHash} from 'node:crypto';
import {BYTES_PER_TOKEN, TOKENS_PER_KV_BLOCK} from './units.js';

/**
 * Hashes text with SHA-256.
 *
 * @param text - any text, for instance an API key
 * @returns 64 lower-case hexadecimal digits
 */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/**
 * Computes the digest by which one request is known again wherever it turns up.
 *
 * @param customerId - customer that sent it
 * @param serviceId - service that it asks for
 * @param body - request body
 * @returns 32 lower-case hexadecimal digits
 */
export function computeFingerprint(customerId: string, serviceId: string, body: Uint8Array): string {
	return createHash('sha256').update(`${customerId}\n${serviceId}\n`).update(body).digest('hex').slice(0, 32);
}

/** Hexadecimal digits kept of the hash of a prefix: 64 bits tell all prefixes of a fleet's caches apart. */
const PREFIX_HASH_DIGITS = 16;
/** Pieces of a prompt that are hashed at most: 64,000 tokens. */
const MAX_PREFIX_BLOCKS = 64;

/**
 * Hashes the prefixes of a prompt that fill whole memory pieces. Each hash
 * covers all text before it, so equal hashes mean equal prefixes.
 *
 * @param modelId - model, adapter and version, whose KV caches differ
 * @param prompt - whole prompt
 * @returns one hash for each whole piece, shortest prefix first
 */
export function hashPrefixes(modelId: string, prompt: string): string[] {
	const blockLength = TOKENS_PER_KV_BLOCK * BYTES_PER_TOKEN;
	const hashes: string[] = [];
	let previousHash = modelId;
	for (let end = blockLength; end <= prompt.length && hashes.length < MAX_PREFIX_BLOCKS; end += blockLength) {
		previousHash = hashText(`${previousHash}\n${prompt.slice(end - blockLength, end)}`).slice(0, PREFIX_HASH_DIGITS);
		hashes.push(previousHash);
	}

	return hashes;
}
