/**
 * Counts the KV cache that requests hold at targets. It is made for engines whose memory holds few long prompts: what exceeds
 * it waits, or preempts a request that is running already.
 */
import {type EngineRecord, type PromptRecord} from '../serving/servingRecords.js';
import {type PlacedTarget, type TargetWork} from './placementState.js';

/** KV cache that a request holds at a target. */
export type HeldTokens = {readonly target: PlacedTarget; readonly tokens: number};

/** Counts the KV cache of a request once it has generated all of its output, in tokens. */
export function countTokens({tokens, maxOutputTokens}: PromptRecord): number {
	return tokens + maxOutputTokens;
}

/** Returns whether the KV cache of a target has room for a request beside all that entries have sent there. */
export function hasTokenRoom({tokens}: TargetWork, prompt: PromptRecord, {kvCapacityTokens}: EngineRecord): boolean {
	return tokens + countTokens(prompt) <= kvCapacityTokens;
}

/** Takes room for a request. Changes the target in place. */
export function takeTokens(target: PlacedTarget, tokens: number): HeldTokens {
	target.localWork.tokens += tokens;
	return {target, tokens};
}

/** Releases the room of a request. Changes its target in place. */
export function releaseTokens(held: HeldTokens | undefined): void {
	if (held !== undefined) {
		held.target.localWork.tokens = Math.max(0, held.target.localWork.tokens - held.tokens);
	}
}
