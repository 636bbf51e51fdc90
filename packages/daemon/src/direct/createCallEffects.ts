import {Buffer} from 'node:buffer';
import {
	ATTEMPT_RESULTS, type ServingEffect, type ServingEvent, type TargetRecord,
} from '@damaskspool/core';
import {
	type DeploymentPorts, type EffectHandlers, type Metrics, startTimeout, type UntimedEvent,
} from '@damaskspool/runtime';
import {createFailure} from '@damaskspool/shared';
import {type CallHandle} from './callHandle.js';
import {type LeaveWitnesses} from './createLeaveWitnesses.js';
import {type MemoryLedger} from './createMemoryLedger.js';
import {type TargetPools} from './createTargetPools.js';
import {type TargetWatches} from './createTargetWatches.js';
import {probeTarget} from './probeTarget.js';
import {runAttempt} from './runAttempt.js';
import {writeBufferedResponse} from './writeBufferedResponse.js';
import {writeRefusal} from './writeRefusal.js';

/** Options of {@link createCallEffects}. */
export type CallEffectsOptions = {
	readonly ports: DeploymentPorts;
	readonly metrics: Metrics;
	readonly pools: TargetPools;
	readonly targetWatches: TargetWatches;
	readonly leaveWitnesses: LeaveWitnesses;
	readonly memoryLedger: MemoryLedger;
	/** Returns the maximum number of connections from this entry to one target of a service. */
	readonly computeMaxConnections: (serviceId: string) => number;
	/** Whether a target has asked for a pause that is not over. */
	readonly isPaused: (targetId: string) => boolean;
	/** Whether a target has named a limit, or ended one lately. */
	readonly isLimited: (targetId: string) => boolean;
	/** Whether a target has announced that it stops, or its registration was removed. */
	readonly isLeaving: (target: TargetRecord) => boolean;
	/** Returns milliseconds since 1970. */
	readonly readWallClock: () => number;
	readonly dispatch: (event: UntimedEvent<ServingEvent>) => void;
};

/** Registry of calls in progress, with the handlers of their effects. */
export type CallEffects = {
	readonly handlers: Pick<
		EffectHandlers<ServingEffect>,
		'attempt.cancel' | 'attempt.forward' | 'attempt.send' | 'call.complete' | 'call.startTimeout' | 'call.refuse' | 'handle.free' | 'target.probe'
	>;
	readonly add: (handle: CallHandle) => void;
	/** Removes a call and clears its timeout; does nothing for an unknown call. */
	readonly end: (callId: number) => void;
};

/** Creates the handlers of effects that concern calls, with an empty registry of calls. */
export function createCallEffects(options: CallEffectsOptions): CallEffects {
	const {ports, metrics, pools, targetWatches, leaveWitnesses, memoryLedger, computeMaxConnections, isPaused, isLimited, isLeaving, readWallClock, dispatch} = options;
	const handles = new Map<number, CallHandle>();
	/** Functions that cancel the timeouts of calls. */
	const timeouts = new Map<number, () => void>();

	const end = (callId: number) => {
		timeouts.get(callId)?.();
		timeouts.delete(callId);
		handles.delete(callId);
	};

	const releaseHandle = async (target: TargetRecord, handleId: string) => {
		const reply = await ports.releaseKvHandle(target.address, handleId);
		if (reply !== undefined) {
			dispatch({type: 'target.noticed', target, notice: reply.notice});
		}
	};

	const dispatchProbe = async (target: TargetRecord) => {
		const isListening = await probeTarget(target.address);
		dispatch({type: 'target.probed', target, isListening});
	};

	return {
		add(handle) {
			handles.set(handle.callId, handle);
		},
		end,
		handlers: {
			'attempt.send'(attempt) {
				const {callId, attemptId, target} = attempt;
				const handle = handles.get(callId);
				if (handle === undefined) {
					return;
				}

				const requestSentAtMs = performance.now();
				handle.cancelAttempt = runAttempt({
					attempt,
					handle,
					pool: pools.resolve(target, computeMaxConnections(target.serviceId)),
					ports,
					memoryLedger,
					isHandlingReset: pools.isHandlingReset,
					onProgress: pools.recordProgress,
					recordAnswer: pools.recordAnswer,
					recordRefusal: pools.recordRefusal,
					delayEnd: pools.delayEnd,
					isPaused: () => isPaused(target.targetId),
					watchTarget: () => targetWatches.begin(target.address),
					addWitness: () => leaveWitnesses.add(target.address, () => isLeaving(target)),
					isTargetLeaving: () => isLeaving(target),
					onNotice(notice) {
						const tellsLimit = notice.requestsPerSecond !== undefined && (Number.isFinite(notice.requestsPerSecond) || isLimited(target.targetId));
						if (notice.isLeaving || notice.pauseMs > 0 || tellsLimit || notice.load?.workTimeFactor !== undefined) {
							dispatch({
								type: 'target.noticed', target, notice, requestSentAtMs,
							});
						}
					},
					onResponseBegan() {
						dispatch({
							type: 'attempt.began', callId, attemptId, wallMs: readWallClock(),
						});
					},
					onPrefillEnded(handleId, result) {
						dispatch({
							type: 'attempt.prefillEnded', callId, attemptId, handleId, result,
						});
					},
					onEnded(attemptEnd) {
						if (attemptEnd.framing !== undefined) {
							metrics.count(`answers{framing="${attemptEnd.framing}"}`);
						}

						if (attemptEnd.result === ATTEMPT_RESULTS.answered) {
							handle.body = Buffer.alloc(0);
							handle.held.bodyBytes = 0;
						}

						if (attemptEnd.result === ATTEMPT_RESULTS.unreached && attemptEnd.detail === 'ECONNREFUSED') {
							targetWatches.recordRefusal(target.address);
						}

						if (attemptEnd.result === ATTEMPT_RESULTS.unknown && !attemptEnd.isResponseStarted) {
							pools.recordConnectionFailure();
						}

						dispatch({
							type: 'attempt.ended', callId, attemptId, wallMs: readWallClock(), ...attemptEnd,
						});
					},
				});
			},
			'attempt.cancel'({callId}) {
				handles.get(callId)?.cancelAttempt?.();
			},
			'attempt.forward'({callId}) {
				const handle = handles.get(callId);
				if (handle !== undefined) {
					writeBufferedResponse(handle, ports);
				}

				end(callId);
			},
			'call.complete'({callId}) {
				handles.get(callId)?.response.end();
				end(callId);
			},
			'call.startTimeout'({callId, afterMs}) {
				timeouts.set(callId, startTimeout(() => {
					dispatch({type: 'call.expired', callId});
				}, afterMs));
			},
			'call.refuse'({callId, code, outcome, retryAfterMs}) {
				const handle = handles.get(callId);
				metrics.count(`refusals{code="${code}"}`);
				if (handle !== undefined) {
					const failure = createFailure(code, {outcome, ...(retryAfterMs !== undefined && {retryAfterMs})});
					writeRefusal({response: handle.response, ports, failure});
				}

				end(callId);
			},
			'handle.free'({target, handleId}) {
				void releaseHandle(target, handleId);
			},
			'target.probe'({target}) {
				void dispatchProbe(target);
			},
		},
	};
}
