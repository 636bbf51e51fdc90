import {
	type LoadReport, type TargetRole, type TargetState, TOKENS_PER_KV_BLOCK,
} from '@damaskspool/shared';
import {type VirtualTokenCounters} from '../limits/virtualTokenCounters.js';

/** A piece of work that asks to run on the sidecar's target. */
export type Work = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly customerId: string;
	/** Share of the customer in fair queueing; 1 where left out. */
	readonly weight?: number;
	readonly priority: 'interactive' | 'batch';
	readonly promptTokens: number;
	/** Prompt tokens that the entry expects not to be in the target's prefix cache. */
	readonly prefillTokens: number;
	readonly maxTokens: number;
	readonly deadlineAtMs: number;
	readonly fingerprint: string;
};

/** How much a target takes at once. */
export type Capacity = {
	/** Requests that run at once. */
	readonly concurrency: number;
	/** Pieces of KV cache memory; zero for a plain service, whose requests hold none. */
	readonly pieces: number;
	/** Requests that wait at the sidecar. */
	readonly queueLimit: number;
};

/** The state of a sidecar's admission. */
export type AdmissionState = {
	readonly targetId: string;
	capacity: Capacity;
	lifeState: TargetState;
	role: TargetRole;
	models: string[];
	running: Map<string, Work>;
	waiting: Work[];
	counters: VirtualTokenCounters;
	usedPieces: number;
	/** Prompt tokens of running work that has produced no token yet. */
	prefillingTokens: Map<string, number>;
	prefillTokensTotal: number;
	generatedTokensTotal: number;
	/** When the target last reported of itself. */
	reportedAtMs: number;
};

/**
 * Counts the memory that a piece of work can come to hold.
 *
 * @param work - the work
 * @returns whole pieces
 */
export function countPieces(work: Work): number {
	return Math.ceil((work.promptTokens + work.maxTokens) / TOKENS_PER_KV_BLOCK);
}

/**
 * Tells whether a piece of work fits beside what runs.
 *
 * @param state - admission state
 * @param work - the work
 * @returns whether it may start now
 */
export function isFitting(state: AdmissionState, work: Work): boolean {
	const {concurrency, pieces} = state.capacity;
	const hasSlot = state.running.size < concurrency;
	// Work larger than the whole memory runs alone, as the engine pages it itself.
	const hasMemory = pieces === 0 || state.running.size === 0 || state.usedPieces + countPieces(work) <= pieces;
	return hasSlot && hasMemory;
}

/**
 * Sums up the state for the entries.
 *
 * @param state - admission state
 * @param nowMs - present time
 * @returns the load report
 */
export function toLoadReport(state: AdmissionState, nowMs: number): LoadReport {
	const prefilling = [...state.prefillingTokens.values()];
	const queued = state.waiting.map(work => work.prefillTokens);
	return {
		targetId: state.targetId,
		role: state.role,
		state: state.lifeState,
		models: state.models,
		running: state.running.size,
		waiting: state.waiting.length,
		queuedPrefillTokens: [...prefilling, ...queued].reduce((sum, tokens) => sum + tokens, 0),
		freePieces: Math.max(0, state.capacity.pieces - state.usedPieces),
		totalPieces: state.capacity.pieces,
		prefillTokensTotal: state.prefillTokensTotal,
		generatedTokensTotal: state.generatedTokensTotal,
		ageMs: Math.max(0, nowMs - state.reportedAtMs),
	};
}
