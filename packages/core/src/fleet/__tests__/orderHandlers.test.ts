import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type OrderOffer, type OrderReply} from '@damaskspool/shared';
import {reduceSidecar} from '../../reducer/sidecarReducer.js';
import {createSidecarState, type SidecarState} from '../../reducer/sidecarState.js';
import {DRAIN_TIMEOUT_MS} from '../orderHandlers.js';

function createServingState(): SidecarState {
	const state = createSidecarState({instanceId: 't', capacity: {concurrency: 4, kvBlocks: 64, queueLimit: 4}});
	reduceSidecar(state, {
		type: 'target.reported', nowMs: 0, role: 'mixed', models: ['m'], isReady: true,
	});
	return state;
}

function createOffer(sequence: number): OrderOffer {
	return {
		targetId: 't', dutyName: 'fleet/a', holderAddress: 'e', order: {epoch: 2, sequence}, desired: {role: 'prefill', models: ['m'], isLeaving: false},
	};
}

function sendOffer(state: SidecarState, sequence: number, nowMs = 1): OrderReply['status'] | undefined {
	const effects = reduceSidecar(state, {
		type: 'order.offered', nowMs, offerId: 'o', offer: createOffer(sequence),
	});
	return effects.find(effect => effect.type === 'order.reply')?.reply.status;
}

/** Answers the sidecar's outstanding request for a proof of authority. */
function sendProof(state: SidecarState, nowMs: number) {
	const nonce = state.orders.active?.nonce ?? '';
	return reduceSidecar(state, {
		type: 'authority.answered', nowMs, nonce, proof: {nonce, epoch: 2, remainingMs: 3000},
	});
}

describe('orders at a sidecar', () => {
	it('are refused before the assignment was read, and if older than the assignment', () => {
		const state = createServingState();
		assert.equal(sendOffer(state, 5), 'notReady');
		reduceSidecar(state, {
			type: 'assignment.wasRead',
			nowMs: 1,
			epoch: 2,
			assignment: {
				targetId: 't', serviceId: 's', incarnation: 1, order: {epoch: 2, sequence: 4}, desired: createOffer(4).desired, state: 'open',
			},
		});
		assert.equal(sendOffer(state, 3), 'stale');
		assert.equal(sendOffer(state, 4), 'accepted');
	});

	it('cancel running work after the drain timeout, and change the target only when nothing runs', () => {
		const state = createServingState();
		reduceSidecar(state, {
			type: 'assignment.wasRead', nowMs: 1, epoch: 2, assignment: undefined,
		});
		reduceSidecar(state, {
			type: 'work.received',
			nowMs: 1,
			work: {
				requestId: 'r', attemptId: 'r.1', customerId: 'c', priority: 'interactive', promptTokens: 10, prefillTokens: 10, maxTokens: 1, deadlineAtMs: 90_000, fingerprint: 'f',
			},
		});
		assert.equal(sendOffer(state, 1), 'accepted');
		assert.deepEqual(sendProof(state, 2).filter(({type}) => type !== 'decision.record'), []);
		assert.equal(state.admission.lifecycleState, 'draining');
		assert.deepEqual(reduceSidecar(state, {type: 'tick', nowMs: DRAIN_TIMEOUT_MS}), []);
		const effects = reduceSidecar(state, {type: 'tick', nowMs: DRAIN_TIMEOUT_MS + 10});
		assert.deepEqual(effects, [{type: 'work.cancel', attemptId: 'r.1'}]);
		reduceSidecar(state, {
			type: 'work.ended', nowMs: DRAIN_TIMEOUT_MS + 20, attemptId: 'r.1', generatedTokens: 0,
		});
		assert.equal(state.orders.active?.phase, 'confirming');
		assert.deepEqual(sendProof(state, DRAIN_TIMEOUT_MS + 30).map(({type}) => type), ['target.change']);
	});
});
