import {createHash} from 'node:crypto';
import {BYTES_PER_TOKEN, TOKENS_PER_KV_BLOCK} from './units.js';

/** Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Returns the fingerprint of a request: 32 lower-case hexadecimal digits that are equal for requests with the same customer, service and body. */
export function computeFingerprint(customerId: string, serviceId: string, body: Uint8Array): string {
	return createHash('sha256').update(`${customerId}\n${serviceId}\n`).update(body).digest('hex').slice(0, 32);
}

/** Hexadecimal digits of a prefix hash. 64 bits are enough to distinguish all prefixes in the caches of a fleet. */
const PREFIX_HASH_DIGITS = 16;
/** Maximum number of blocks of a prompt that are hashed: 64,000 tokens. */
const MAX_PREFIX_BLOCKS = 64;

/**
 * Hashes the prefixes of a prompt that end at a KV cache block boundary. Each
 * hash covers the model and all text up to the boundary: equal hashes mean equal prefixes.
 *
 * @param modelId - model with adapter and version; KV caches of different ones are not interchangeable
 * @returns one hash for each full block, shortest prefix first
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
