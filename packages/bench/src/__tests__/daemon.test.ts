import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {type DeploymentFile, readDeployment} from '../harness/deploymentFile.js';
import {
	createDemoKey, type RunningDeployment, startDeployment, waitFor,
} from '../harness/startDeployment.js';

type ProgramResult = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** Runs the `bin.js` of a package until it exits. */
async function runProgram(packageName: string, argv: readonly string[], environment: Record<string, string> = {}): Promise<ProgramResult> {
	const main = createRequire(import.meta.url).resolve(packageName);
	const child = spawn(process.execPath, [path.join(path.dirname(main), 'bin.js'), ...argv], {env: {...process.env, ...environment}});
	const [stdout, stderr, [code]] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'exit') as Promise<[number]>]);
	return {code, stdout, stderr};
}

/** Starts one entry and one engine that takes 20 ms per step, long enough to stop the entry during a stream. */
async function startSingleEngineDeployment(): Promise<RunningDeployment> {
	const deployment = await readDeployment(path.resolve('examples/idranti'));
	const pool = {...deployment.file.pools[0]!, count: 1};
	const file: DeploymentFile = {...deployment.file, entries: ['palermo'], pools: [pool]};
	return startDeployment({deployment: {...deployment, file}, engineOptions: {stepMs: 20}});
}

async function openStream(running: RunningDeployment, maxTokens: number): Promise<Response> {
	return fetch(`http://${running.entries[0]!.addresses.listen}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${createDemoKey('comune-palermo')}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'dossier-7b', messages: [{role: 'user', content: 'a dossier'}], max_tokens: maxTokens, stream: true,
		}),
	});
}

describe('damaskspoold', () => {
	it('rejects invalid settings with the position of each problem and exit code 2', async () => {
		const directory = await mkdtemp(path.join(tmpdir(), 'damaskspool-test-'));
		const file = path.join(directory, 'bad.jsonc');
		await writeFile(file, '{\n\t"role": "entry",\n\t"instanceId": "e",\n\t"drainLimit": "soon"\n}');
		const result = await runProgram('@damaskspool/daemon', ['--settings', file]);
		await rm(directory, {recursive: true});
		assert.equal(result.code, 2);
		assert.match(result.stderr, /bad\.jsonc:4:16: drainLimit: expected a duration/v);
		assert.match(result.stderr, /bad\.jsonc:1:1: listen: /v);
	});

	it('finishes an open stream after a stop signal, accepts no new requests, and exits with code 0', async () => {
		const running = await startSingleEngineDeployment();
		const response = await openStream(running, 60);
		const stopped = running.entries[0]!.stop();
		await waitFor(async () => {
			try {
				const refused = await openStream(running, 1);
				return refused.status === 503;
			} catch {
				return true;
			}
		});
		const body = await response.text();
		assert.equal(body.match(/^id: /gmv)?.length, 60);
		assert.match(body, /data: \[DONE\]\n\n$/v);
		assert.equal(await stopped, 0);
		assert.deepEqual(new Set(await running.stop()), new Set([0]));
	});

	it('writes no key to its logs or metrics', async () => {
		const running = await startSingleEngineDeployment();
		const {addresses, logLines} = running.entries[0]!;
		const answered = await openStream(running, 2);
		await answered.text();
		const refused = await fetch(`http://${addresses.listen}/nowhere`, {headers: {authorization: 'Bearer dmsk_unknown_key'}});
		assert.equal(refused.status, 404);
		const metrics = await fetch(`http://${addresses.control}/metrics`);
		const metricsText = await metrics.text();
		await running.stop();
		assert.match(metricsText, /^damaskspool_answered_total 1$/mv);
		assert.ok(!metricsText.includes('dmsk_'));
		assert.ok(!logLines.some(line => line.includes('dmsk_')));
	});
});

describe('damaskspool', () => {
	it('accepts the settings and configurations in the examples', async () => {
		for (const name of ['idranti', 'odalaigh']) {
			for (const file of ['entry.jsonc', 'sidecar.jsonc']) {
				const result = await runProgram('@damaskspool/cli', ['config', 'check', `examples/${name}/${file}`]);
				assert.equal(result.code, 0, result.stderr);
			}

			const result = await runProgram('@damaskspool/cli', ['config', 'check', '--document', `examples/${name}/configuration.jsonc`]);
			assert.equal(result.code, 0, result.stderr);
		}
	});

	it('lists the targets of a running entry to an operator, and refuses other callers', async () => {
		const running = await startSingleEngineDeployment();
		const argv = ['query', 'targets', '--json', '--entry', running.entries[0]!.addresses.control!];
		let operatorResult: ProgramResult | undefined;
		// The entry knows the target's state only after the target's first load report.
		await waitFor(async () => {
			operatorResult = await runProgram('@damaskspool/cli', argv, {DAMASKSPOOL_KEY: createDemoKey('operator')});
			return operatorResult.code !== 0 || operatorResult.stdout.includes('serving');
		});
		const customerResult = await runProgram('@damaskspool/cli', argv, {DAMASKSPOOL_KEY: createDemoKey('comune-palermo')});
		await running.stop();
		assert.equal(operatorResult?.code, 0, operatorResult?.stderr);
		const rows = JSON.parse(operatorResult.stdout) as Array<{target: string; state: string}>;
		assert.deepEqual(rows.map(row => [row.target, row.state]), [['assistant-1', 'serving']]);
		assert.equal(customerResult.code, 1);
		assert.match(customerResult.stderr, /operator's key/v);
	});
});
