import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {createEngine, type Engine} from '@damaskspool/stand-ins';
import {waitFor} from '../harness/startDeployment.js';
import {type ProxiedSidecar, type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {
	callEntry, createChatBody, createSmallDocument, TEST_MODEL,
} from './smallDeploymentFixtures.js';

const CHAT_PATH = '/v1/chat/completions';
/** Long enough that a fault occurs while the streams run. */
const STREAM_TOKENS = 120;
const STREAM_COUNT = 12;

/** Removes the request's identifier and the attempt's usage from a stream; both differ between equal generations. */
function normalizeStream(body: string): string {
	return body.replaceAll(/^data: (?<data>\{.*)$/gmv, (_, data: string) => {
		const {id: _id, usage: _usage, ...rest} = JSON.parse(data) as Record<string, unknown>;
		return `data: ${JSON.stringify(rest)}`;
	});
}

// Guards against truncated, duplicated or altered streams after the connection to a target or sidecar fails. The entry
// resumes the stream on another target, and the caller must receive the same events as without a failure.
describe('a stream whose connection fails', () => {
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

	/**
	 * Sends the same prompts twice. The second time, injects a fault at the sidecar of the busiest target after an average
	 * of 20 tokens per stream. Checks that both times produce the same streams.
	 */
	async function runStreamsWithFault(injectFault: (sidecar: ProxiedSidecar) => void): Promise<void> {
		const addresses = deployment.entries.map(entry => entry.addresses.listen!);
		const prompts = Array.from({length: STREAM_COUNT}, (_, index) => `prompt ${index}`);
		const send = async (prompt: string, index: number) => callEntry(addresses[index % addresses.length]!, CHAT_PATH, {body: createChatBody(prompt, STREAM_TOKENS)});
		const expected = await Promise.all(prompts.map(async (prompt, index) => send(prompt, index)));
		const countGeneratedTokens = () => engines.reduce((sum, engine) => sum + engine.readStats().generatedTokens, 0);
		const tokensBefore = countGeneratedTokens();
		const interrupted = Promise.all(prompts.map(async (prompt, index) => send(prompt, index)));
		await waitFor(() => countGeneratedTokens() - tokensBefore > STREAM_COUNT * 20);
		const runningCounts = engines.map(engine => engine.readStats().running);
		injectFault(deployment.sidecars[runningCounts.indexOf(Math.max(...runningCounts))]!);
		const responses = await interrupted;
		for (const [index, {body}] of responses.entries()) {
			assert.equal(normalizeStream(body), normalizeStream(expected[index]!.body));
			assert.match(body, /\[DONE\]\n\n$/v);
		}

		await waitFor(() => engines.every(engine => engine.readStats().running === 0));
	}

	it('between sidecar and target resumes on another target with identical events', async () => {
		await runStreamsWithFault(({targetProxy}) => {
			targetProxy.setFault({kind: 'cut'});
		});
	});

	it('between entry and sidecar resumes on another target, and the abandoned attempt is cancelled', async () => {
		await runStreamsWithFault(({entryProxy}) => {
			entryProxy.setFault({kind: 'cut'});
		});
	});

	it('because its sidecar is killed resumes on another target', async () => {
		for (const {targetProxy, entryProxy} of deployment.sidecars) {
			targetProxy.setFault({kind: 'none'});
			entryProxy.setFault({kind: 'none'});
		}

		await runStreamsWithFault(({sidecar}) => {
			sidecar.signal('SIGKILL');
		});
	});
});
