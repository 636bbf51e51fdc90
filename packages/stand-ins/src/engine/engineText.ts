import {createHash} from 'node:crypto';

/**
 * Hashes a prompt. Done once for each prompt, so that computing a token does not
 * hash the full prompt again.
 */
export function hashPrompt(prompt: string): string {
	return createHash('sha256').update(prompt).digest('base64url');
}

/**
 * Computes one token of an engine's answer. The answer depends only on the
 * prompt, so any engine can resume any stream, and a caller can verify that an
 * answer belongs to its request.
 *
 * @param promptDigest - digest of the full prompt
 * @param index - position of the token, from 0
 * @returns the text of the token, with a trailing space
 */
export function computeToken(promptDigest: string, index: number): string {
	return `${createHash('sha256').update(`${index}\n${promptDigest}`).digest('base64url').slice(0, 6)} `;
}

/**
 * Computes the complete answer of an engine.
 *
 * @param prompt - full prompt
 * @param tokens - length of the answer in tokens
 */
export function computeAnswer(prompt: string, tokens: number): string {
	const digest = hashPrompt(prompt);
	return Array.from({length: tokens}, (_, index) => computeToken(digest, index)).join('');
}
