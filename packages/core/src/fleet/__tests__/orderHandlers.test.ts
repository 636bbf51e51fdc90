import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type OrderOffer, type OrderReply} from '@damaskspool/shared';
import {reduceSidecar} from '../../reducer/sidecarReducer.js';
import {createSidecarState, type SidecarState} from '../../reducer/sidecarState.js';
import {DRAIN_LIMIT_MS} from '../orderHandlers.js';

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

function offer(state: SidecarState, sequence: number, nowMs = 1): OrderReply['status'] | undefined {
	const effects = reduceSidecar(state, {
		type: 'order.offered', nowMs, offerId: 'o', offer: createOffer(sequence),
	});
	return effects.find(effect => effect.type === 'order.reply')?.reply.status;
}

/** Proves authority for whatever the sidecar asks now. */
function prove(state: SidecarState, nowMs: number) {
	const nonce = state.orders.active?.nonce ?? '';
	return reduceSidecar(state, {
		type: 'authority.answered', nowMs, nonce, proof: {nonce, epoch: 2, remainingMs: 3000},
	});
}

describe('a sidecar that is offered an order', () => {
	it('takes none before it has read its assignment, and none below it', () => {
		const state = createServingState();
		assert.equal(offer(state, 5), 'notReady');
		reduceSidecar(state, {
			type: 'assignment.wasRead',
			nowMs: 1,
			epoch: 2,
			assignment: {
				targetId: 't', serviceId: 's', incarnation: 1, order: {epoch: 2, sequence: 4}, desired: createOffer(4).desired, state: 'open',
			},
		});
		assert.equal(offer(state, 3), 'stale');
		assert.equal(offer(state, 4), 'accepted');
	});

	it('hands work over after the drain limit, and changes the target only once nothing runs', () => {
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
		assert.equal(offer(state, 1), 'accepted');
		assert.deepEqual(prove(state, 2).filter(({type}) => type !== 'decision.record'), []);
		assert.equal(state.admission.lifecycleState, 'draining');
		assert.deepEqual(reduceSidecar(state, {type: 'tick', nowMs: DRAIN_LIMIT_MS}), []);
		const handedOver = reduceSidecar(state, {type: 'tick', nowMs: DRAIN_LIMIT_MS + 10});
		assert.deepEqual(handedOver, [{type: 'work.cancel', attemptId: 'r.1'}]);
		reduceSidecar(state, {
			type: 'work.ended', nowMs: DRAIN_LIMIT_MS + 20, attemptId: 'r.1', generatedTokens: 0,
		});
		assert.equal(state.orders.active?.phase, 'confirming');
		assert.deepEqual(prove(state, DRAIN_LIMIT_MS + 30).map(({type}) => type), ['target.change']);
	});
});
