import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type InstanceRecord} from '@damaskspool/shared';
import {toLoadReport} from '../../admission/admissionState.js';
import {createSidecarState} from '../../reducer/sidecarState.js';
import {createMembershipState, mergeInstanceList, mergeLoadReport} from '../membershipState.js';

function createTestRecord(state: InstanceRecord['state']): InstanceRecord {
	return {
		instanceId: 't', kind: 'target', availabilityZone: 'a', region: 'r', address: '127.0.0.1:1', state, serviceId: 's', incarnation: 1,
	};
}

describe('membership', () => {
	it('keeps a target marked as leaving when the instance list says so, even if its sidecar reports serving', () => {
		const sidecar = createSidecarState({instanceId: 't', capacity: {concurrency: 1, kvBlocks: 0, queueLimit: 1}});
		sidecar.admission.lifecycleState = 'serving';
		const membership = createMembershipState();
		mergeInstanceList(membership, [createTestRecord('live')], 'e');
		mergeInstanceList(membership, [createTestRecord('leaving')], 'e');
		mergeLoadReport(membership, toLoadReport(sidecar.admission, 0), 1);
		assert.equal(membership.targets.get('t')?.isLeaving, true);
	});
});
