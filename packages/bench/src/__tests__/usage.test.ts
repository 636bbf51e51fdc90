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
/** Longer than any of these tests, so that a process that is killed has stored no usage yet. */
const NEVER = '10 m';

/** Reads an example deployment and reduces it to two entries, two targets per engine pool and one per plain pool. */
async function readReducedDeployment(): Promise<Deployment> {
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

/** Returns the usage that the targets counted. */
function countUsageAtTargets(running: RunningDeployment) {
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

/** Returns the usage that the platform received; a report that was sent several times counts once. */
function countReportedUsage(running: RunningDeployment) {
	const rowsByReportId = new Map(running.platform.usageReports.map(({reportId, rows}) => [reportId, rows]));
	const sum = sumUsageCounts([createUsageCounts(), ...[...rowsByReportId.values()].flat()]);
	return {promptTokens: sum.promptTokens + sum.repeatedPromptTokens, generatedTokens: sum.generatedTokens, calls: sum.calls};
}

function isAllReported(running: RunningDeployment): boolean {
	return isDeepStrictEqual(countUsageAtTargets(running), countReportedUsage(running));
}

/**
 * Waits until the reports match the targets' counts, and checks that they still match two windows later. Also checks
 * that a repeated report has the same rows, and that no report follows one of a later epoch.
 */
async function assertReportsMatchTargets(running: RunningDeployment): Promise<void> {
	const readReportedThrough = () => (running.platform.store.read('usage/sicilia/progress')?.value as {reportedThrough: number} | undefined)?.reportedThrough ?? 0;
	try {
		await waitFor(() => isAllReported(running), 30_000);
	} catch {
		assert.deepEqual(countReportedUsage(running), countUsageAtTargets(running));
	}

	const reportedBefore = readReportedThrough();
	await waitFor(() => readReportedThrough() >= reportedBefore + 2000);
	assert.deepEqual(countReportedUsage(running), countUsageAtTargets(running));
	const serializedByReportId = new Map<string, string>();
	let epoch = 0;
	for (const report of running.platform.usageReports) {
		const serializedRows = JSON.stringify(report.rows);
		assert.equal(serializedRows, serializedByReportId.get(report.reportId) ?? serializedRows, `${report.reportId} was reported again with different rows`);
		serializedByReportId.set(report.reportId, serializedRows);
		assert.ok(report.epoch >= epoch, `${report.reportedBy} reported after another entry took over`);
		epoch = report.epoch;
	}
}

// Guards against usage that is lost or billed twice: replies of the usage intake are lost, the reporting entry is paused
// beyond its lease, or an entry or sidecar is killed before it stored its counts.
describe('usage reports', () => {
	it('match the targets\' counts when the intake loses replies and the reporter is paused beyond its lease', async () => {
		const deployment = await readReducedDeployment();
		const running = await startDeployment({deployment, entrySettings: ENTRY_SETTINGS, sidecarSettings: SIDECAR_SETTINGS});
		try {
			running.platform.setUsageFault({kind: 'replyLost'});
			await runLoad(running, deployment, 1500);
			await waitFor(() => running.platform.usageReports.length >= 2);
			const firstReport = running.platform.usageReports[0]!;
			const holder = running.entries.find(entry => entry.instanceId === firstReport.reportedBy)!;
			holder.signal('SIGSTOP');
			running.platform.setUsageFault({kind: 'none'});
			await waitFor(() => running.platform.usageReports.some(report => report.reportedBy !== firstReport.reportedBy));
			holder.signal('SIGCONT');
			await runLoad(running, deployment, 1000);
			await assertReportsMatchTargets(running);
		} finally {
			await running.stop();
		}
	});

	it('match the targets\' counts when an entry is killed before it stored any usage', async () => {
		const deployment = await readReducedDeployment();
		const running = await startDeployment({
			deployment, entrySettings: {...ENTRY_SETTINGS, usageFlushInterval: NEVER}, sidecarSettings: SIDECAR_SETTINGS,
		});
		try {
			await runLoad(running, deployment, 1500);
			assert.equal(running.platform.usageReports.length, 0);
			running.entries[0]!.signal('SIGKILL');
			await assertReportsMatchTargets(running);
		} finally {
			await running.stop();
		}
	});

	it('match the targets\' counts when a sidecar is killed before it stored any usage or the entries settled it', async () => {
		const deployment = await readReducedDeployment();
		const running = await startDeployment({
			deployment, entrySettings: {...ENTRY_SETTINGS, usageFlushInterval: '2 s'}, sidecarSettings: {usageOrphanAfter: NEVER},
		});
		try {
			await runLoad(running, deployment, 1200);
			running.targets[0]!.sidecar.signal('SIGKILL');
			await assertReportsMatchTargets(running);
		} finally {
			await running.stop();
		}
	});
});
