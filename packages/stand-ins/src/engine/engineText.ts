import {createHash} from 'node:crypto';

/**
 * Hashes a prompt once, so that its tokens cost nothing more.
 *
 * @param prompt - whole prompt
 * @returns its digest
 */
export function hashPrompt(prompt: string): string {
	return createHash('sha256').update(prompt).digest('base64url');
}

/**
 * Computes one token of an engine's answer. The answer depends on the prompt
 * alone, so any engine resumes any stream, and a caller can tell its own answer.
 *
 * @param promptDigest - digest of the whole prompt
 * @param index - place of the token, from 0
 * @returns the token's text, with a space after it
 */
export function computeToken(promptDigest: string, index: number): string {
	return `${createHash('sha256').update(`${index}\n${promptDigest}`).digest('base64url').slice(0, 6)} `;
}

/**
 * Computes an engine's whole answer.
 *
 * @param prompt - whole prompt
 * @param tokens - tokens of the answer
 * @returns its text
 */
export function computeAnswer(prompt: string, tokens: number): string {
	const digest = hashPrompt(prompt);
	return Array.from({length: tokens}, (_, index) => computeToken(digest, index)).join('');
}
