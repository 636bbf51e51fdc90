import assert from 'node:assert/strict';
import path from 'node:path';
import {describe, it} from 'node:test';
import {isDeepStrictEqual} from 'node:util';
import {createUsageCounts, sumUsageCounts} from '@damaskspool/core';
import {type Deployment, readDeployment} from '../harness/deploymentFile.js';
import {type RunningDeployment, startDeployment, waitFor} from '../harness/startDeployment.js';
import {createTraffic} from '../load/createTraffic.js';
import {runTraffic} from '../load/runTraffic.js';

const SEED = 11;
const ENTRY_SETTINGS = {usageWindow: '1 s', usageGrace: '300 ms', usageFlushInterval: '150 ms'};
const SIDECAR_SETTINGS = {usageOrphanAfter: '1 s'};
/** Longer than any of these tests, so that an entry that is killed has stored nothing. */
const NEVER = '10 m';

/** Two engines, one plain service and two entries of a committed deployment. */
async function createSmallDeployment(): Promise<Deployment> {
	const {file, document} = await readDeployment(path.resolve('examples', 'idranti'));
	return {
		document,
		file: {
			...file,
			entries: file.entries.slice(0, 2),
			pools: file.pools.map(pool => ({...pool, count: pool.kind === 'engine' ? 2 : 1})),
			traffic: file.traffic.map(traffic => ({...traffic, ...(traffic.promptTokens && {promptTokens: [50, 1500] as const})})),
		},
	};
}

async function runLoad(running: RunningDeployment, deployment: Deployment, durationMs: number) {
	const planned = createTraffic({file: deployment.file, durationMs, seed: SEED});
	return runTraffic({planned, addresses: running.entries.map(entry => entry.addresses.listen!), keys: running.keys});
}

/** What the targets themselves counted. */
function countRan(running: RunningDeployment) {
	let promptTokens = 0;
	let generatedTokens = 0;
	let calls = 0;
	for (const {standIn} of running.targets) {
		const stats = standIn.readStats();
		if ('generatedTokens' in stats) {
			promptTokens += stats.prefilledTokens + stats.cachedTokens;
			generatedTokens += stats.generatedTokens;
		} else {
			calls += stats.calls;
		}
	}

	return {promptTokens, generatedTokens, calls};
}

/** What the intake took in, each report once. */
function countReported(running: RunningDeployment) {
	const byReport = new Map(running.platform.usageReports.map(({reportId, rows}) => [reportId, rows]));
	const sum = sumUsageCounts([createUsageCounts(), ...[...byReport.values()].flat()]);
	return {promptTokens: sum.promptTokens + sum.repeatedPromptTokens, generatedTokens: sum.generatedTokens, calls: sum.calls};
}

function isAllReported(running: RunningDeployment): boolean {
	return isDeepStrictEqual(countRan(running), countReported(running));
}

/** Waits until everything is reported and lets two more windows pass, in which nothing may be added. */
async function assertReportedRight(running: RunningDeployment): Promise<void> {
	const readProgress = () => (running.platform.store.read('usage/sicilia/progress')?.value as {reportedThrough: number} | undefined)?.reportedThrough ?? 0;
	try {
		await waitFor(() => isAllReported(running), 30_000);
	} catch {
		assert.deepEqual(countReported(running), countRan(running));
	}

	const before = readProgress();
	await waitFor(() => readProgress() >= before + 2000);
	assert.deepEqual(countReported(running), countRan(running));
	const figures = new Map<string, string>();
	let epoch = 0;
	for (const report of running.platform.usageReports) {
		const text = JSON.stringify(report.rows);
		assert.equal(text, figures.get(report.reportId) ?? text, `${report.reportId} was reported with other figures`);
		figures.set(report.reportId, text);
		assert.ok(report.epoch >= epoch, `${report.reportedBy} reported after it was replaced`);
		epoch = report.epoch;
	}
}

describe('usage reports', () => {
	it('equal what ran while the intake loses replies and the reporter is paused past its term', async () => {
		const deployment = await createSmallDeployment();
		const running = await startDeployment({deployment, entrySettings: ENTRY_SETTINGS, sidecarSettings: SIDECAR_SETTINGS});
		try {
			running.platform.setUsageFault({kind: 'replyLost'});
			await runLoad(running, deployment, 1500);
			await waitFor(() => running.platform.usageReports.length >= 2);
			const first = running.platform.usageReports[0]!;
			const holder = running.entries.find(entry => entry.instanceId === first.reportedBy)!;
			holder.signal('SIGSTOP');
			running.platform.setUsageFault({kind: 'none'});
			await waitFor(() => running.platform.usageReports.some(report => report.reportedBy !== first.reportedBy));
			holder.signal('SIGCONT');
			await runLoad(running, deployment, 1000);
			await assertReportedRight(running);
		} finally {
			await running.stop();
		}
	});

	it('equal what ran where an entry is killed before it stored anything', async () => {
		const deployment = await createSmallDeployment();
		const running = await startDeployment({
			deployment, entrySettings: {...ENTRY_SETTINGS, usageFlushInterval: NEVER}, sidecarSettings: SIDECAR_SETTINGS,
		});
		try {
			await runLoad(running, deployment, 1500);
			assert.equal(running.platform.usageReports.length, 0);
			running.entries[0]!.signal('SIGKILL');
			await assertReportedRight(running);
		} finally {
			await running.stop();
		}
	});

	it('equal what ran where a sidecar is killed before its entries told it anything', async () => {
		const deployment = await createSmallDeployment();
		const running = await startDeployment({
			deployment, entrySettings: {...ENTRY_SETTINGS, usageFlushInterval: '2 s'}, sidecarSettings: {usageOrphanAfter: NEVER},
		});
		try {
			await runLoad(running, deployment, 1200);
			running.targets[0]!.sidecar.signal('SIGKILL');
			await assertReportedRight(running);
		} finally {
			await running.stop();
		}
	});
});
