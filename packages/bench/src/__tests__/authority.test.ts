import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {waitFor} from '../harness/startDeployment.js';
import {
	assertOrdersSerialized, findLeaseHolder, MAX_RECOVERY_MS, OUTAGE_MS, readFleetLease, readFleetRecord, startWithEngine, wait,
} from './authorityFixtures.js';
import {callEntry, createChatBody} from './smallDeploymentFixtures.js';

// Guards against a zone that loses fleet control: an order left open by a dead lease holder, an order sent without a
// valid lease, or control that does not resume after the object API was down. The engine ignores fencing tokens, so
// the entries and the sidecar must keep orders from overlapping.
describe('fleet control with real processes', () => {
	it('completes an order after the lease holder is killed while the order is open', async context => {
		const running = await startWithEngine(context);
		const {engine, platform} = running;
		const {epoch} = readFleetLease(platform)!;
		await engine.changeRole('prefill');
		await waitFor(() => engine.orders.length > 0);
		findLeaseHolder(running).signal('SIGKILL');
		const killedAt = performance.now();
		await waitFor(() => {
			const fleet = readFleetRecord(platform)!;
			return fleet.epoch > epoch && fleet.assignments.every(({state}) => state === 'applied');
		});
		assert.ok(performance.now() - killedAt < MAX_RECOVERY_MS);
		assert.equal(engine.readRole(), 'mixed');
		assertOrdersSerialized(engine);
	});

	it('keeps serving while the store is down longer than any lease, sends no order meanwhile, and resumes control afterwards', async context => {
		const running = await startWithEngine(context);
		const {engine, platform, entries} = running;
		platform.setFault({kind: 'down'});
		await wait(OUTAGE_MS);
		for (const entry of [...entries, ...entries]) {
			const response = await callEntry(entry.addresses.listen!, '/v1/chat/completions', {body: createChatBody('question')});
			assert.ok(response.body.includes('[DONE]'), response.body);
		}

		const orderCountBefore = engine.orders.length;
		await engine.changeRole('prefill');
		await wait(2000);
		assert.equal(engine.orders.length, orderCountBefore, 'an order was sent while no entry held a valid lease');
		platform.setFault({kind: 'none'});
		const restoredAt = performance.now();
		await waitFor(() => engine.orders.length > orderCountBefore);
		assert.ok(performance.now() - restoredAt < MAX_RECOVERY_MS);
		await waitFor(() => engine.readRole() === 'mixed');
		assertOrdersSerialized(engine);
	});
});
