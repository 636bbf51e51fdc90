import {
	type LoadReport, type TargetRole, type TargetState, TOKENS_PER_KV_BLOCK,
} from '@damaskspool/shared';
import {type VirtualTokenCounters} from '../limits/virtualTokenCounters.js';

/** One attempt of a request that an entry sent to a sidecar to run on its target. */
export type Work = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly customerId: string;
	/** Weight of the customer in fair queueing; 1 if absent. */
	readonly weight?: number;
	readonly priority: 'interactive' | 'batch';
	readonly promptTokens: number;
	/** Prompt tokens that the target has to prefill: those that the entry does not expect in its prefix cache. */
	readonly prefillTokens: number;
	readonly maxTokens: number;
	readonly deadlineAtMs: number;
	readonly fingerprint: string;
};

/** Limits on the work of one target. */
export type Capacity = {
	/** Maximum number of requests that run concurrently. */
	readonly concurrency: number;
	/** Size of the KV cache in blocks; 0 for a plain service, which has no KV cache. */
	readonly kvBlocks: number;
	/** Maximum number of requests that wait at the sidecar. */
	readonly queueLimit: number;
};

/** State of a sidecar's admission control. */
export type AdmissionState = {
	readonly targetId: string;
	capacity: Capacity;
	lifecycleState: TargetState;
	role: TargetRole;
	models: string[];
	running: Map<string, Work>;
	waiting: Work[];
	tokenCounters: VirtualTokenCounters;
	/** KV cache blocks reserved by running work. */
	usedKvBlocks: number;
	/** Prompt tokens to prefill, by attempt identifier, for running work that has not produced a token yet. */
	prefillingTokens: Map<string, number>;
	prefillTokensTotal: number;
	generatedTokensTotal: number;
	/** Time of the target's last status report. */
	targetReportedAtMs: number;
};

/** Returns the maximum number of KV cache blocks that the work can occupy, rounded up. */
export function countKvBlocks(work: Work): number {
	return Math.ceil((work.promptTokens + work.maxTokens) / TOKENS_PER_KV_BLOCK);
}

/** Returns whether the work can start now, beside the work that is already running. */
export function hasCapacityFor(state: AdmissionState, work: Work): boolean {
	const {concurrency, kvBlocks} = state.capacity;
	const hasSlot = state.running.size < concurrency;
	// Work larger than the full KV cache runs alone, because the engine pages its memory itself.
	const hasMemory = kvBlocks === 0 || state.running.size === 0 || state.usedKvBlocks + countKvBlocks(work) <= kvBlocks;
	return hasSlot && hasMemory;
}

/** Creates the load report that the sidecar sends to entries. */
export function toLoadReport(state: AdmissionState, nowMs: number): LoadReport {
	const prefillingCounts = [...state.prefillingTokens.values()];
	const waitingCounts = state.waiting.map(work => work.prefillTokens);
	return {
		targetId: state.targetId,
		role: state.role,
		state: state.lifecycleState,
		models: state.models,
		running: state.running.size,
		waiting: state.waiting.length,
		queuedPrefillTokens: [...prefillingCounts, ...waitingCounts].reduce((sum, tokens) => sum + tokens, 0),
		freePieces: Math.max(0, state.capacity.kvBlocks - state.usedKvBlocks),
		totalPieces: state.capacity.kvBlocks,
		prefillTokensTotal: state.prefillTokensTotal,
		generatedTokensTotal: state.generatedTokensTotal,
		ageMs: Math.max(0, nowMs - state.targetReportedAtMs),
	};
}
