import {z} from 'zod';
import {type ServingEffect, type ServingEvent} from '@damaskspool/core';
import {
	type DeploymentPorts, type EffectHandlers, type Logger, type UntimedEvent,
} from '@damaskspool/runtime';
import {
	createRecordSchema, ERROR_CODES, formatContentIssues, leaseRecordSchema,
} from '@damaskspool/shared';
import {createMalformedLog} from './createMalformedLog.js';

/** Options of {@link createDutyEffects}. */
export type DutyEffectsOptions = {
	readonly ports: DeploymentPorts;
	readonly instanceId: string;
	readonly logger: Logger;
	readonly dispatch: (event: UntimedEvent<ServingEvent>) => void;
};

/** Counts by window and customer. Without a valid object no window is reported, since its figures may have been reported. */
const sealedUsageSchema = createRecordSchema(z.string().regex(/^\d+$/v), createRecordSchema(z.string(), z.number()));

type EffectOf<Type extends ServingEffect['type']> = Extract<ServingEffect, {type: Type}>;

/** Handlers of effects that concern leases, orders and usage reports. */
export type DutyEffects = Pick<EffectHandlers<ServingEffect>, 'lease.read' | 'lease.write' | 'order.send' | 'usage.read' | 'usage.report' | 'usage.seal'>;

/** Creates the handlers of lease, order and usage report effects. Each handler dispatches its result as an event. */
export function createDutyEffects({ports, instanceId, logger, dispatch}: DutyEffectsOptions): DutyEffects {
	const {store, objects} = ports;
	const malformedUsage = createMalformedLog({
		write(context) {
			logger.error('usage.malformed', context);
		},
	});

	const readLease = async ({dutyName, callId}: EffectOf<'lease.read'>) => {
		const reply = await store.read(objects.leases, dutyName);
		const record = reply.ok ? leaseRecordSchema.safeParse(reply.val?.value).data : undefined;
		dispatch({
			type: 'lease.readEnded',
			dutyName,
			callId,
			result: reply.ok ? {kind: 'read', version: reply.val?.version ?? 0, record} : {kind: 'failed'},
		});
	};

	const writeLease = async ({dutyName, callId, record, expectedVersion}: EffectOf<'lease.write'>) => {
		const reply = await store.write(objects.leases, dutyName, record, expectedVersion);
		const kind = reply.err && reply.val.code === ERROR_CODES.versionConflict ? 'conflict' : 'unknown';
		dispatch({
			type: 'lease.writeEnded', dutyName, callId, result: reply.ok ? {kind: 'written', version: reply.val} : {kind},
		});
	};

	const sendOrder = async ({target, stage, fence, remainingTermMs}: EffectOf<'order.send'>) => {
		const reply = await ports.orderStage({
			target, stage, holder: instanceId, fence, timeoutMs: remainingTermMs,
		});
		if (reply !== undefined) {
			dispatch({type: 'target.noticed', target, notice: reply.notice});
		}

		dispatch({
			type: 'order.ended', targetId: target.targetId, stage, status: reply?.status,
		});
	};

	const readSealedUsage = async () => {
		const reply = await store.read(objects.usage.kind, objects.usage.name);
		const sealed = reply.ok ? sealedUsageSchema.safeParse(reply.val?.value ?? {}) : undefined;
		if (sealed?.success === false) {
			malformedUsage.record({name: objects.usage.name, version: reply.ok ? reply.val?.version : undefined, detail: formatContentIssues(sealed.error)});
		} else if (sealed !== undefined) {
			malformedUsage.clear(objects.usage.name);
		}

		dispatch({
			type: 'usage.sealEnded',
			result: reply.ok && sealed?.success === true
				? {kind: 'read', version: reply.val?.version ?? 0, sealed: sealed.data}
				: {kind: 'failed'},
		});
	};

	const writeSealedUsage = async ({sealed, expectedVersion}: EffectOf<'usage.seal'>) => {
		const reply = await store.write(objects.usage.kind, objects.usage.name, sealed, expectedVersion);
		dispatch({type: 'usage.sealEnded', result: reply.ok ? {kind: 'written', version: reply.val, sealed} : {kind: 'failed'}});
	};

	const sendUsageReport = async ({windowId, counts, fence, remainingTermMs}: EffectOf<'usage.report'>) => {
		const status = await ports.reportUsage({
			windowId, counts, holder: instanceId, fence, timeoutMs: remainingTermMs,
		});
		dispatch({type: 'usage.reportEnded', windowId, status});
	};

	return {
		'lease.read'(effect) {
			void readLease(effect);
		},
		'lease.write'(effect) {
			void writeLease(effect);
		},
		'order.send'(effect) {
			void sendOrder(effect);
		},
		'usage.read'() {
			void readSealedUsage();
		},
		'usage.seal'(effect) {
			void writeSealedUsage(effect);
		},
		'usage.report'(effect) {
			void sendUsageReport(effect);
		},
	};
}
