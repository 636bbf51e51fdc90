import {ERROR_CODES, LEASE_KEY_PREFIX, leaseRecordSchema} from '@damaskspool/shared';
import {countHeldDuties, type WriteLease} from '@damaskspool/core';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

/** Creates the component that reads and writes leases in the object API. */
export function createLeaseComponent(context: EntryContext): EntryComponent<'lease.read' | 'lease.write'> {
	const {
		objectApi, metrics, dispatch, readState, readClock,
	} = context;

	const readLease = async (dutyName: string, callId: string) => {
		const read = await objectApi.read(`${LEASE_KEY_PREFIX}${dutyName}`);
		if (read.err) {
			dispatch({
				type: 'lease.readEnded', dutyName, callId, result: {kind: 'failed'},
			});
			return;
		}

		const version = read.val?.version ?? 0;
		const record = leaseRecordSchema.safeParse(read.val?.value).data;
		dispatch({
			type: 'lease.readEnded', dutyName, callId, result: {kind: 'read', version, record},
		});
	};

	const writeLease = async ({dutyName, callId, record, expectedVersion}: WriteLease) => {
		const written = await objectApi.write(`${LEASE_KEY_PREFIX}${dutyName}`, record, expectedVersion);
		if (written.ok) {
			dispatch({
				type: 'lease.writeEnded', dutyName, callId, result: {kind: 'written', version: written.val},
			});
			return;
		}

		const kind = written.val.code === ERROR_CODES.versionConflict ? 'conflict' : 'unknown';
		dispatch({
			type: 'lease.writeEnded', dutyName, callId, result: {kind},
		});
	};

	return {
		effectHandlers: {
			'lease.read'({dutyName, callId}) {
				void readLease(dutyName, callId);
			},
			'lease.write'(effect) {
				void writeLease(effect);
			},
		},
		updateGauges() {
			metrics.setGauge('held_duties', countHeldDuties(readState().lease, readClock()));
		},
	};
}
