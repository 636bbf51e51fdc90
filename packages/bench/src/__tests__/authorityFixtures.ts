import assert from 'node:assert/strict';
import {type TestContext} from 'node:test';
import {
	FLEET_KEY_PREFIX, type FleetRecord, LEASE_KEY_PREFIX, type LeaseRecord,
} from '@damaskspool/shared';
import {createEngine, type Engine, type Platform} from '@damaskspool/stand-ins';
import {waitFor} from '../harness/startDeployment.js';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {createSmallDocument, TEST_MODEL} from './smallDeploymentFixtures.js';

/** Bound that the users set for repair and for a change to be in force. */
export const PROMISE_MS = 10_000;
/** Longer than any lease and its margins. */
export const OUTAGE_MS = 6000;

/**
 * Reads the lease of the fleet duty.
 *
 * @param platform - platform whose store holds it
 * @returns the lease, or undefined before the first
 */
export function readLease(platform: Platform): LeaseRecord | undefined {
	return platform.store.read(`${LEASE_KEY_PREFIX}fleet/a`)?.value as LeaseRecord | undefined;
}

/**
 * Reads the orders of the zone.
 *
 * @param platform - platform whose store holds them
 * @returns the orders, or undefined before the first
 */
export function readFleet(platform: Platform): FleetRecord | undefined {
	return platform.store.read(`${FLEET_KEY_PREFIX}a`)?.value as FleetRecord | undefined;
}

/**
 * Finds the entry that holds the fleet duty.
 *
 * @param deployment - running deployment
 * @returns the entry named by the lease
 */
export function findHolder({platform, entries}: SmallDeployment) {
	return entries.find(({instanceId}) => instanceId === readLease(platform)?.holder)!;
}

/**
 * Lets time pass.
 *
 * @param durationMs - how long
 */
export async function pass(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/**
 * Starts three entries before one engine that ignores fencing numbers, and
 * waits until the holder of the zone has taken it in. Ends with the test.
 *
 * @param context - test that uses it
 * @returns the deployment and its engine
 */
export async function startWithEngine(context: TestContext): Promise<SmallDeployment & {readonly engine: Engine}> {
	const engine = await createEngine({models: [TEST_MODEL], roleChangeMs: 1500});
	const deployment = await startSmallDeployment({
		document: createSmallDocument(),
		entryCount: 3,
		targets: [{
			targetId: 'assistant-1', serviceId: 'assistant', kind: 'engine', address: engine.address, pieces: 64,
		}],
	});
	context.after(async () => {
		for (const entry of deployment.entries) {
			entry.signal('SIGCONT');
		}

		await deployment.stop();
		await engine.close();
	});
	await waitFor(() => readFleet(deployment.platform)?.assignments.length === 1);
	return {...deployment, engine};
}

/**
 * Asserts that every order came under a rising epoch, and none while another was under way.
 *
 * @param engine - engine that took the orders
 */
export function assertOrderly(engine: Engine): void {
	const epochs = engine.orders.map(({epoch}) => epoch);
	assert.deepEqual(epochs, epochs.toSorted((left, right) => left - right));
	assert.equal(engine.countOrderOverlaps(), 0);
}
