import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {createEngine, type Engine} from '@damaskspool/stand-ins';
import {waitFor} from '../harness/startDeployment.js';
import {type ProxiedSidecar, type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {
	callEntry, createChat, createSmallDocument, TEST_MODEL,
} from './smallDeploymentFixtures.js';

const CHAT_PATH = '/v1/chat/completions';
/** Tokens of a stream: long enough that a fault falls within it. */
const TOKENS = 120;
const STREAMS = 12;

/** A stream without the request's identifier and the usage of an attempt, which are no part of the generated answer. */
function normalizeStream(body: string): string {
	return body.replaceAll(/^data: (?<data>\{.*)$/gmv, (_, data: string) => {
		const {id: _id, usage: _usage, ...rest} = JSON.parse(data) as Record<string, unknown>;
		return `data: ${JSON.stringify(rest)}`;
	});
}

describe('a stream whose way breaks', () => {
	const engines: Engine[] = [];
	let deployment: SmallDeployment;

	before(async () => {
		for (let index = 0; index < 4; index += 1) {
			engines.push(await createEngine({models: [TEST_MODEL], stepMs: 5}));
		}

		deployment = await startSmallDeployment({
			document: createSmallDocument(),
			targets: engines.map((engine, index) => ({
				targetId: `assistant-${index}`, serviceId: 'assistant', kind: 'engine' as const, address: engine.address,
			})),
			entryCount: 2,
		});
	});

	after(async () => {
		await deployment.stop();
		await Promise.all(engines.map(async engine => engine.close()));
	});

	/** Sends streams, breaks something at the busiest target once all have begun, and compares them byte by byte. */
	async function runThrough(fault: (broken: ProxiedSidecar) => void): Promise<void> {
		const addresses = deployment.entries.map(entry => entry.addresses.listen!);
		const prompts = Array.from({length: STREAMS}, (_, index) => `prompt ${index}`);
		const send = async (prompt: string, index: number) => callEntry(addresses[index % addresses.length]!, CHAT_PATH, {body: createChat(prompt, TOKENS)});
		const whole = await Promise.all(prompts.map(async (prompt, index) => send(prompt, index)));
		const generated = () => engines.reduce((sum, engine) => sum + engine.readStats().generatedTokens, 0);
		const atStart = generated();
		const broken = Promise.all(prompts.map(async (prompt, index) => send(prompt, index)));
		await waitFor(() => generated() - atStart > STREAMS * 20);
		const running = engines.map(engine => engine.readStats().running);
		fault(deployment.sidecars[running.indexOf(Math.max(...running))]!);
		const seen = await broken;
		for (const [index, {body}] of seen.entries()) {
			assert.equal(normalizeStream(body), normalizeStream(whole[index]!.body));
			assert.match(body, /\[DONE\]\n\n$/v);
		}

		await waitFor(() => engines.every(engine => engine.readStats().running === 0));
	}

	it('at its target resumes elsewhere, byte by byte the same', async () => {
		await runThrough(({targetProxy}) => {
			targetProxy.setFault({kind: 'cut'});
		});
	});

	it('between entry and sidecar resumes elsewhere, and the work that was left is cancelled', async () => {
		await runThrough(({entryProxy}) => {
			entryProxy.setFault({kind: 'cut'});
		});
	});

	it('with its sidecar killed resumes elsewhere', async () => {
		for (const {targetProxy, entryProxy} of deployment.sidecars) {
			targetProxy.setFault({kind: 'none'});
			entryProxy.setFault({kind: 'none'});
		}

		await runThrough(({sidecar}) => {
			sidecar.signal('SIGKILL');
		});
	});
});
