import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {waitFor} from '../harness/startDeployment.js';
import {
	assertOrderly, findHolder, OUTAGE_MS, pass, readFleet, readLease, startWithEngine,
} from './authorityFixtures.js';

describe('a holder that is stopped', () => {
	it('gives no effect to the order of a holder that was stopped past its term', async context => {
		const running = await startWithEngine(context);
		const {engine, platform, sidecars} = running;
		const holder = findHolder(running);
		const {epoch} = readLease(platform)!;
		// The holder's offers hang on the way until after it has lost its authority.
		sidecars[0]!.entryProxy.setFault({kind: 'delay', delayMs: OUTAGE_MS});
		engine.crash(0);
		await engine.changeRole('prefill');
		await pass(1500);
		holder.signal('SIGSTOP');
		sidecars[0]!.entryProxy.setFault({kind: 'none'});
		await waitFor(() => (readFleet(platform)?.epoch ?? 0) > epoch);
		await pass(OUTAGE_MS);
		holder.signal('SIGCONT');
		await waitFor(() => engine.readRole() === 'mixed' && readFleet(platform)!.assignments[0]!.state !== 'open');
		assert.ok(engine.orders.length > 0);
		assert.ok(engine.orders.every(order => order.epoch > epoch), 'an order of the stopped holder took effect');
		assertOrderly(engine);
	});
});
