import {type SealedUsage, type ServingEffect, type ServingEvent} from '@damaskspool/core';
import {type DeploymentPorts, type EffectHandlers, type UntimedEvent} from '@damaskspool/runtime';
import {ERROR_CODES, type LeaseRecord, leaseRecordSchema} from '@damaskspool/shared';

/** Options of {@link createDutyEffects}. */
export type DutyEffectsOptions = {
	readonly ports: DeploymentPorts;
	readonly instanceId: string;
	readonly dispatch: (event: UntimedEvent<ServingEvent>) => void;
};

/** Effects of leases, orders and usage reports. */
export type DutyEffects = Pick<EffectHandlers<ServingEffect>, 'lease.read' | 'lease.write' | 'order.send' | 'usage.read' | 'usage.report' | 'usage.seal'>;

/**
 * Creates the handlers that carry out what only the holder of a duty does.
 *
 * @param options - adapter, own name, and who takes the replies
 * @returns the handlers
 */
export function createDutyEffects({ports, instanceId, dispatch}: DutyEffectsOptions): DutyEffects {
	const {store, objects} = ports;
	return {
		async 'lease.read'({dutyName, callId}) {
			const reply = await store.read(objects.leases, dutyName);
			const record = reply.ok ? leaseRecordSchema.safeParse(reply.val?.value).data : undefined;
			dispatch({
				type: 'lease.readEnded',
				dutyName,
				callId,
				result: reply.ok ? {kind: 'read', version: reply.val?.version ?? 0, record} : {kind: 'failed'},
			});
		},
		async 'lease.write'({dutyName, callId, record, expectedVersion}) {
			const reply = await store.write(objects.leases, dutyName, record satisfies LeaseRecord, expectedVersion);
			const kind = reply.err && reply.val.code === ERROR_CODES.versionConflict ? 'conflict' : 'unknown';
			dispatch({
				type: 'lease.writeEnded', dutyName, callId, result: reply.ok ? {kind: 'written', version: reply.val} : {kind},
			});
		},
		async 'order.send'({target, stage, fence}) {
			const status = await ports.orderStage({
				target, stage, holder: instanceId, fence,
			});
			dispatch({
				type: 'order.ended', targetId: target.targetId, stage, status,
			});
		},
		async 'usage.read'() {
			const reply = await store.read(objects.usage.kind, objects.usage.name);
			dispatch({
				type: 'usage.sealEnded',
				result: reply.ok
					? {kind: 'read', version: reply.val?.version ?? 0, sealed: (reply.val?.value ?? {}) as SealedUsage}
					: {kind: 'failed'},
			});
		},
		async 'usage.seal'({sealed, expectedVersion}) {
			const reply = await store.write(objects.usage.kind, objects.usage.name, sealed, expectedVersion);
			dispatch({type: 'usage.sealEnded', result: reply.ok ? {kind: 'written', version: reply.val, sealed} : {kind: 'failed'}});
		},
		async 'usage.report'({windowId, counts, fence}) {
			const status = await ports.reportUsage({
				windowId, counts, holder: instanceId, fence,
			});
			dispatch({type: 'usage.reportEnded', windowId, status});
		},
	};
}
