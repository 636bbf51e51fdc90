import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {waitFor} from '../harness/startDeployment.js';
import {
	assertOrdersSerialized, findLeaseHolder, OUTAGE_MS, readFleetLease, readFleetRecord, startWithEngine, wait,
} from './authorityFixtures.js';

// Guards against a late order of a former lease holder. The holder is paused while its order is delayed on the link to
// the sidecar, its lease expires, another entry takes over, and the paused holder then continues. The engine ignores
// fencing tokens, so the sidecar has to refuse the late order.
describe('a paused lease holder', () => {
	it('has its order refused when it was paused beyond the end of its lease', async context => {
		const running = await startWithEngine(context);
		const {engine, platform, sidecars} = running;
		const holder = findLeaseHolder(running);
		const {epoch} = readFleetLease(platform)!;
		// Delays the holder's offers of orders until its lease has expired.
		sidecars[0]!.entryProxy.setFault({kind: 'delay', delayMs: OUTAGE_MS});
		engine.crash(0);
		await engine.changeRole('prefill');
		await wait(1500);
		holder.signal('SIGSTOP');
		sidecars[0]!.entryProxy.setFault({kind: 'none'});
		await waitFor(() => (readFleetRecord(platform)?.epoch ?? 0) > epoch);
		await wait(OUTAGE_MS);
		holder.signal('SIGCONT');
		await waitFor(() => engine.readRole() === 'mixed' && readFleetRecord(platform)!.assignments[0]!.state !== 'open');
		assert.ok(engine.orders.length > 0);
		assert.ok(engine.orders.every(order => order.epoch > epoch), 'an order of the paused holder took effect');
		assertOrdersSerialized(engine);
	});
});
