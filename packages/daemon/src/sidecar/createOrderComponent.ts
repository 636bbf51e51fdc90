import {type ChangeTarget, mayChangeTarget} from '@damaskspool/core';
import {createRpcClient} from '@damaskspool/runtime';
import {
	authorityProofSchema, FLEET_KEY_PREFIX, fleetRecordSchema, MINUTE_MS, orderOfferSchema, type OrderReply,
} from '@damaskspool/shared';
import {type SidecarContext, type SidecarComponent} from './sidecarComponent.js';

/** Time limit for a target to apply a change. After a timeout, the target's next report shows its actual state. */
const CHANGE_TIMEOUT_MS = MINUTE_MS;

type OrderEffectType = 'order.reply' | 'authority.ask' | 'target.change' | 'assignment.read';

/** Creates the component that receives orders and applies them to the target. */
export function createOrderComponent(context: SidecarContext): SidecarComponent<OrderEffectType> {
	const {
		settings, objectApi, metrics, targetDispatcher, dispatch, readClock,
	} = context;
	const rpc = createRpcClient({
		onCall(method, bytes) {
			metrics.count(`rpc_calls_total{method="${method}"}`);
			metrics.count('control_bytes_total', bytes);
		},
	});
	const resolversByOfferId = new Map<string, (reply: OrderReply) => void>();
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

	const requestAuthorityProof = async (holderAddress: string, dutyName: string, nonce: string) => {
		const response = await rpc.call(holderAddress, 'authority.prove', {dutyName, nonce});
		const proof = response.ok ? authorityProofSchema.safeParse(response.val).data : undefined;
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

		// The process may have been paused since the decision, so its validity is checked again right before the call.
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
				resolversByOfferId.get(offerId)?.(reply);
				resolversByOfferId.delete(offerId);
			},
			'authority.ask'({holderAddress, dutyName, nonce}) {
				void requestAuthorityProof(holderAddress, dutyName, nonce);
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
					resolversByOfferId.set(offerId, resolve);
					dispatch({type: 'order.offered', offerId, offer});
				});
			},
		},
		async stop() {
			await rpc.close();
		},
	};
}
