import assert from 'node:assert/strict';
import {type TestContext} from 'node:test';
import {
	FLEET_KEY_PREFIX, type FleetRecord, LEASE_KEY_PREFIX, type LeaseRecord,
} from '@damaskspool/shared';
import {createEngine, type Engine, type Platform} from '@damaskspool/stand-ins';
import {waitFor} from '../harness/startDeployment.js';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {createSmallDocument, TEST_MODEL} from './smallDeploymentFixtures.js';

/** Users require that a failure is repaired and a change is in force everywhere within this time. */
export const MAX_RECOVERY_MS = 10_000;
/** Longer than any lease including its safety margins. */
export const OUTAGE_MS = 6000;

/** Returns the lease of the fleet duty in zone `a`, or undefined if it was never acquired. */
export function readFleetLease(platform: Platform): LeaseRecord | undefined {
	return platform.store.read(`${LEASE_KEY_PREFIX}fleet/a`)?.value as LeaseRecord | undefined;
}

/** Returns the fleet record of zone `a`, which holds its orders, or undefined if none was written yet. */
export function readFleetRecord(platform: Platform): FleetRecord | undefined {
	return platform.store.read(`${FLEET_KEY_PREFIX}a`)?.value as FleetRecord | undefined;
}

/** Returns the entry that holds the lease of the fleet duty. */
export function findLeaseHolder({platform, entries}: SmallDeployment) {
	return entries.find(({instanceId}) => instanceId === readFleetLease(platform)?.holder)!;
}

export async function wait(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/**
 * Starts three entries and one engine that ignores fencing tokens, and waits
 * until the fleet record lists the engine. When the test ends, paused entries
 * continue and everything stops.
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
	await waitFor(() => readFleetRecord(deployment.platform)?.assignments.length === 1);
	return {...deployment, engine};
}

/** Asserts that the engine received its orders with non-decreasing epochs and never two at a time. */
export function assertOrdersSerialized(engine: Engine): void {
	const epochs = engine.orders.map(({epoch}) => epoch);
	assert.deepEqual(epochs, epochs.toSorted((left, right) => left - right));
	assert.equal(engine.countOrderOverlaps(), 0);
}
