import {createHash} from 'node:crypto';

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
