import assert from 'node:assert/strict';
import path from 'node:path';
import {describe, it} from 'node:test';
import {readDeployment} from '../harness/deploymentFile.js';
import {startDeployment} from '../harness/startDeployment.js';
import {createTraffic} from '../load/createTraffic.js';
import {runTraffic} from '../load/runTraffic.js';
import {hasNoViolations, summarizeResults} from '../load/summarizeResults.js';

const SEED = 7;

describe('the complete request path', () => {
	for (const name of ['idranti', 'odalaigh']) {
		it(`serves the traffic of ${name} through entries, sidecars and targets, and stops gracefully`, async () => {
			const deployment = await readDeployment(path.resolve('examples', name));
			const running = await startDeployment({deployment});
			const planned = createTraffic({file: deployment.file, durationMs: 1500, seed: SEED});
			const results = await runTraffic({
				planned,
				addresses: running.entries.map(entry => entry.addresses.listen!),
				keys: running.keys,
			});
			const summary = summarizeResults(results, running.targets.map(target => target.standIn));
			const codes = await running.stop();
			assert.ok(hasNoViolations(summary), JSON.stringify(summary));
			assert.equal(summary.answered, planned.length);
			assert.deepEqual(new Set(codes), new Set([0]));
		});
	}
});
