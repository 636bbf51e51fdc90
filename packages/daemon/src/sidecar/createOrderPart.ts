import {type ChangeTarget, mayChangeTarget} from '@damaskspool/core';
import {createRpcClient} from '@damaskspool/runtime';
import {
	authorityProofSchema, FLEET_KEY_PREFIX, fleetRecordSchema, MINUTE_MS, orderOfferSchema, type OrderReply,
} from '@damaskspool/shared';
import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/** Longest wait for a target to make a change; what it then is, its report tells. */
const CHANGE_TIMEOUT_MS = MINUTE_MS;

type OrderEffectType = 'order.reply' | 'authority.ask' | 'target.change' | 'assignment.read';

/**
 * Creates the part of a sidecar that takes orders and carries them to the target.
 *
 * @param context - what the sidecar shares among its parts
 * @returns the part
 */
export function createOrderPart(context: SidecarContext): SidecarPart<OrderEffectType> {
	const {
		settings, objectApi, metrics, targetDispatcher, dispatch, readClock,
	} = context;
	const rpc = createRpcClient({
		onCall(method, bytes) {
			metrics.count(`rpc_calls_total{method="${method}"}`);
			metrics.count('control_bytes_total', bytes);
		},
	});
	const repliesById = new Map<string, (reply: OrderReply) => void>();
	let offerCount = 0;

	const readAssignment = async () => {
		const read = await objectApi.read(`${FLEET_KEY_PREFIX}${settings.availabilityZone}`);
		if (read.err) {
			return;
		}

		const record = fleetRecordSchema.safeParse(read.val?.value).data;
		dispatch({
			type: 'assignment.wasRead',
			epoch: record?.epoch ?? 0,
			assignment: record?.assignments.find(({targetId}) => targetId === settings.instanceId),
		});
	};

	const askAuthority = async (holderAddress: string, dutyName: string, nonce: string) => {
		const answer = await rpc.call(holderAddress, 'authority.prove', {dutyName, nonce});
		const proof = answer.ok ? authorityProofSchema.safeParse(answer.val).data : undefined;
		dispatch({type: 'authority.answered', nonce, proof});
	};

	const changeTarget = async (effect: ChangeTarget) => {
		const isDone = await sendChange(effect);
		dispatch({type: 'target.changed', stepId: effect.stepId, isDone});
	};

	const sendChange = async (effect: ChangeTarget): Promise<boolean> => {
		const {order, step} = effect;
		if (step.kind === 'loadModel') {
			const admitted = await objectApi.call('POST', '/weights', {modelId: step.modelId, targetId: settings.instanceId});
			if (admitted.err) {
				return false;
			}
		}

		// The process may have been paused since the decision: the clock is read again right before the call.
		if (!mayChangeTarget(effect, readClock())) {
			return false;
		}

		try {
			const response = await targetDispatcher.request({
				origin: `http://${settings.target}`,
				path: '/orders',
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({...order, ...(step.kind === 'changeRole' ? {role: step.role} : {modelId: step.modelId})}),
				signal: AbortSignal.timeout(CHANGE_TIMEOUT_MS),
			});
			await response.body.dump();
			return response.statusCode === 200;
		} catch {
			return false;
		}
	};

	return {
		effectHandlers: {
			'order.reply'({offerId, reply}) {
				repliesById.get(offerId)?.(reply);
				repliesById.delete(offerId);
			},
			'authority.ask'({holderAddress, dutyName, nonce}) {
				void askAuthority(holderAddress, dutyName, nonce);
			},
			'target.change'(effect) {
				void changeTarget(effect);
			},
			'assignment.read'() {
				void readAssignment();
			},
		},
		rpcMethods: {
			async 'order.offer'(parameters) {
				const offer = orderOfferSchema.parse(parameters);
				offerCount += 1;
				const offerId = String(offerCount);
				return new Promise<OrderReply>(resolve => {
					repliesById.set(offerId, resolve);
					dispatch({type: 'order.offered', offerId, offer});
				});
			},
		},
		async stop() {
			await rpc.close();
		},
	};
}
