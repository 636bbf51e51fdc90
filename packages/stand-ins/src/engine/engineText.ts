import {createHash} from 'node:crypto';

/**
 * Computes one token of an engine's answer. The answer depends on the prompt
 * alone, so any engine resumes any stream, and a caller can tell its own answer.
 *
 * @param prompt - whole prompt
 * @param index - place of the token, from 0
 * @returns the token's text, with a space after it
 */
export function computeToken(prompt: string, index: number): string {
	return `${createHash('sha256').update(`${index}\n${prompt}`).digest('base64url').slice(0, 6)} `;
}

/**
 * Computes an engine's whole answer.
 *
 * @param prompt - whole prompt
 * @param tokens - tokens of the answer
 * @returns its text
 */
export function computeAnswer(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => computeToken(prompt, index)).join('');
}
