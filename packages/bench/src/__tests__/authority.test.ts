import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {waitFor} from '../harness/startDeployment.js';
import {
	assertOrderly, findHolder, OUTAGE_MS, pass, PROMISE_MS, readFleet, readLease, startWithEngine,
} from './authorityFixtures.js';
import {callEntry, createChat} from './smallDeploymentFixtures.js';

describe('control by real processes', () => {
	it('takes over an order whose holder was killed in the middle of it', async context => {
		const running = await startWithEngine(context);
		const {engine, platform} = running;
		const {epoch} = readLease(platform)!;
		await engine.changeRole('prefill');
		await waitFor(() => engine.orders.length > 0);
		findHolder(running).signal('SIGKILL');
		const killedAt = performance.now();
		await waitFor(() => {
			const fleet = readFleet(platform)!;
			return fleet.epoch > epoch && fleet.assignments.every(({state}) => state === 'applied');
		});
		assert.ok(performance.now() - killedAt < PROMISE_MS);
		assert.equal(engine.readRole(), 'mixed');
		assertOrderly(engine);
	});

	it('serves through an outage of the store that outlasts every lease, and recovers control by itself', async context => {
		const running = await startWithEngine(context);
		const {engine, platform, entries} = running;
		platform.setFault({kind: 'down'});
		await pass(OUTAGE_MS);
		for (const entry of [...entries, ...entries]) {
			const answer = await callEntry(entry.addresses.listen!, '/v1/chat/completions', {body: createChat('question')});
			assert.ok(answer.body.includes('[DONE]'), answer.body);
		}

		const ordersBefore = engine.orders.length;
		await engine.changeRole('prefill');
		await pass(2000);
		assert.equal(engine.orders.length, ordersBefore, 'an order was sent without authority');
		platform.setFault({kind: 'none'});
		const returnedAt = performance.now();
		await waitFor(() => engine.orders.length > ordersBefore);
		assert.ok(performance.now() - returnedAt < PROMISE_MS);
		await waitFor(() => engine.readRole() === 'mixed');
		assertOrderly(engine);
	});
});
