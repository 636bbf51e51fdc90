import {
	type CallPlatform, findHeldDuty, mayCallPlatform, type OfferOrder, type WriteFleet,
} from '@damaskspool/core';
import {
	type AuthorityProof, ERROR_CODES, FLEET_KEY_PREFIX, fleetRecordSchema, orderReplySchema,
} from '@damaskspool/shared';
import {z} from 'zod';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

const proveParametersSchema = z.object({dutyName: z.string(), nonce: z.string()});

type FleetEffectType = 'fleet.read' | 'fleet.write' | 'order.offer' | 'platform.call';

/** Creates the component that carries out the fleet duty of the entry's availability zone while the entry holds it. */
export function createFleetComponent(context: EntryContext): EntryComponent<FleetEffectType> {
	const {
		settings, objectApi, rpc, metrics, dispatch, readState, readClock, readControlAddress,
	} = context;
	const fleetKey = `${FLEET_KEY_PREFIX}${settings.availabilityZone}`;

	const readFleet = async (callId: string) => {
		const read = await objectApi.read(fleetKey);
		if (read.err) {
			dispatch({type: 'fleet.readEnded', callId, result: {kind: 'failed'}});
			return;
		}

		const version = read.val?.version ?? 0;
		const record = fleetRecordSchema.safeParse(read.val?.value).data;
		dispatch({type: 'fleet.readEnded', callId, result: {kind: 'read', version, record}});
	};

	const writeFleet = async ({callId, record, expectedVersion}: WriteFleet) => {
		const written = await objectApi.write(fleetKey, record, expectedVersion);
		if (written.ok) {
			dispatch({type: 'fleet.writeEnded', callId, result: {kind: 'written', version: written.val}});
			return;
		}

		const kind = written.val.code === ERROR_CODES.versionConflict ? 'conflict' : 'unknown';
		dispatch({type: 'fleet.writeEnded', callId, result: {kind}});
	};

	const offerOrder = async ({targetId, address, dutyName, order, desired}: OfferOrder) => {
		const response = await rpc.call(address, 'order.offer', {
			targetId, dutyName, holderAddress: readControlAddress(), order, desired,
		});
		const reply = response.ok ? orderReplySchema.safeParse(response.val).data : undefined;
		dispatch({
			type: 'offer.answered', targetId, order, status: reply?.status,
		});
	};

	const callPlatform = async (effect: CallPlatform) => {
		const {intent} = effect;
		// The process may have been paused since the decision, so the lease is checked again right before the call.
		if (!mayCallPlatform(readState().lease, effect, readClock())) {
			return;
		}

		const {action, serviceId, targetId} = intent;
		const response = await objectApi.call('POST', '/targets', {
			action, serviceId, targetId, availabilityZone: settings.availabilityZone, idempotencyKey: intent.key, orderedBy: settings.instanceId,
		});
		dispatch({type: 'platform.answered', key: intent.key, isTaken: response.ok});
	};

	return {
		effectHandlers: {
			'fleet.read'({callId}) {
				void readFleet(callId);
			},
			'fleet.write'(effect) {
				void writeFleet(effect);
			},
			'order.offer'(effect) {
				metrics.count('orders_offered_total');
				void offerOrder(effect);
			},
			'platform.call'(effect) {
				void callPlatform(effect);
			},
		},
		rpcMethods: {
			'authority.prove'(parameters): AuthorityProof {
				const {dutyName, nonce} = proveParametersSchema.parse(parameters);
				const heldDuty = findHeldDuty(readState().lease, dutyName, readClock());
				if (heldDuty === undefined) {
					throw new Error(`this entry does not hold the duty ${dutyName}`);
				}

				return {nonce, ...heldDuty};
			},
		},
		updateGauges() {
			const {record, ownedEpoch} = readState().fleet;
			metrics.setGauge('fleet_owned_epoch', ownedEpoch ?? 0);
			metrics.setGauge('fleet_open_orders', record?.assignments.filter(({state}) => state === 'open').length ?? 0);
			metrics.setGauge('fleet_open_intents', record?.intents.length ?? 0);
		},
	};
}
