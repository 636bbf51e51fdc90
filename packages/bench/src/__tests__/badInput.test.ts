import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {ERROR_CODES, HEADERS, OUTCOMES} from '@damaskspool/shared';
import {
	createEngine, createPlainService, type Engine, type PlainService,
} from '@damaskspool/stand-ins';
import fc from 'fast-check';
import {waitFor} from '../harness/startDeployment.js';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {
	callEntry, createChatBody, createSmallDocument, sendRaw, TEST_KEY, TEST_MODEL,
} from './smallDeploymentFixtures.js';

const SEED = 20_261_204;
const CHAT_PATH = '/v1/chat/completions';

/** Starts an engine whose response is faulty in the way that the prompt names. */
async function startFaultyEngine() {
	const responsesByPrompt: Readonly<Record<string, (response: ServerResponse) => void>> = {
		malformed(response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.end('id: 0\ndata: {}\n\nthis is no event\n\n');
		},
		early(response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.end('id: 0\ndata: {}\n\n');
		},
		half(response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.write('id: 0\ndata: {}\n\nid: 1\ndata', () => {
				response.destroy();
			});
		},
		skipping(response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.end('id: 0\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n');
		},
		unnumbered(response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.end('id: 0\ndata: {}\n\nid: \ndata: {}\n\ndata: [DONE]\n\n');
		},
		anonymous(response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.end('id: 0\ndata: {}\n\ndata: {}\n\ndata: [DONE]\n\n');
		},
		odd(response) {
			response.writeHead(600, {'content-type': 'application/json'});
			response.end('{}');
		},
		missing(response) {
			response.writeHead(404, {'content-type': 'text/event-stream'});
			response.end('id: 0\ndata: {}\n\ndata: [DONE]\n\n');
		},
		silent(response) {
			response.destroy();
		},
		crossed(response) {
			response.writeHead(200, {'content-type': 'application/json', [HEADERS.requestId]: 'another'});
			response.end('{}');
		},
	};
	const server = createServer((incoming, response) => {
		const chunks: string[] = [];
		incoming.setEncoding('utf8').on('data', (chunk: string) => {
			chunks.push(chunk);
		}).on('end', () => {
			if (incoming.url?.startsWith('/report')) {
				response.end(JSON.stringify({role: 'mixed', models: [TEST_MODEL], isReady: true}));
				return;
			}

			const body = JSON.parse(chunks.join('')) as {messages: Array<{content: string}>};
			responsesByPrompt[body.messages[0]!.content]?.(response);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		async close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

// Guards against requests that an entry must not forward: invalid ones, ones that carry a key where a target would see
// it, and ones whose framing lets a second request pass unchecked. Also covers callers that disconnect, whose work would
// otherwise keep occupying a target.
describe('bad input', () => {
	let engine: Engine;
	let service: PlainService;
	let deployment: SmallDeployment;
	let address: string;

	before(async () => {
		engine = await createEngine({models: [TEST_MODEL], stepMs: 20});
		service = await createPlainService();
		deployment = await startSmallDeployment({
			document: createSmallDocument(),
			targets: [
				{
					targetId: 'assistant-1', serviceId: 'assistant', kind: 'engine', address: engine.address,
				},
				{
					targetId: 'booking-1', serviceId: 'booking', kind: 'plain', address: service.address,
				},
			],
			entrySettings: {bodyLimit: '40 KiB'},
		});
		address = deployment.entries[0]!.addresses.listen!;
	});

	after(async () => {
		const codes = await deployment.stop();
		await Promise.all([engine.close(), service.close()]);
		assert.deepEqual(new Set(codes), new Set([0]));
	});

	it('is refused with a specific error code and the outcome "not run"', async () => {
		const chat = createChatBody('hello');
		const cases = [
			['no key', CHAT_PATH, {body: chat, key: undefined}, ERROR_CODES.keyMissing],
			['an unknown key', CHAT_PATH, {body: chat, key: 'dmsk_unknown_unknown'}, ERROR_CODES.keyUnknown],
			['a key too short', CHAT_PATH, {body: chat, key: 'abc'}, ERROR_CODES.keyUnknown],
			['two keys', CHAT_PATH, {body: chat, headers: {'x-api-key': 'another-key-1'}}, ERROR_CODES.headerInvalid],
			['a body larger than the limit of its route', CHAT_PATH, {body: createChatBody('x'.repeat(30_000))}, ERROR_CODES.bodyTooLarge],
			['a body larger than the limit of the entry', CHAT_PATH, {body: createChatBody('x'.repeat(900_000))}, ERROR_CODES.bodyTooLarge],
			['a body that is not JSON', CHAT_PATH, {body: '{"model": '}, ERROR_CODES.bodyNotJson],
			['JSON that is not an object', CHAT_PATH, {body: '[1]'}, ERROR_CODES.bodyNotJson],
			['an unknown model', CHAT_PATH, {body: {...chat, model: 'other'}}, ERROR_CODES.modelUnknown],
			['no model', CHAT_PATH, {body: {messages: []}}, ERROR_CODES.modelUnknown],
			['an unknown service', '/nowhere', {body: {}}, ERROR_CODES.routeUnknown],
		] as const;
		for (const [name, path, options, code] of cases) {
			const {headers, body} = await callEntry(address, path, options);
			assert.equal(headers.get(HEADERS.errorCode), code, name);
			assert.equal(headers.get(HEADERS.outcome), OUTCOMES.refusedNotRun, name);
			assert.equal((JSON.parse(body) as {error: {code: string}}).error.code, code, name);
		}
	});

	it('is refused when its path escapes from an open route', async () => {
		const paths = ['../x', '%2e%2E/x', '..%2fx', '/x', String.raw`..\x`];
		for (const path of paths.map(rest => `/permits/status/${rest}`)) {
			const reply = await sendRaw(address, `GET ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
			assert.match(reply, /^HTTP\/1\.1 400 .*header_invalid/sv, path);
		}
	});

	it('is refused when its framing is ambiguous, and its connection is closed', async () => {
		const head = `POST ${CHAT_PATH} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEST_KEY}\r\n`;
		// Request smuggling: a parser that frames the first request differently takes these bytes for a second request.
		const smuggled = 'GET /permits/status/smuggled HTTP/1.1\r\nHost: a\r\n\r\n';
		const framings = [
			`${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${smuggled}`,
			`${head}Content-Length: 0\r\nContent-Length: ${smuggled.length}\r\n\r\n${smuggled}`,
			`${head}Transfer-Encoding: xchunked\r\n\r\n${smuggled}`,
			`${head}X-A: b\r\n c\r\nContent-Length : 3\r\n\r\n${smuggled}`,
			`${head}Bad\0Name: b\r\n\r\n${smuggled}`,
			`${head}Content-Length: -1\r\n\r\n${smuggled}`,
		];
		for (const framing of framings) {
			const reply = await sendRaw(address, framing);
			assert.match(reply, /^HTTP\/1\.1 400 /v, framing);
			assert.match(reply, /header_invalid/v, framing);
			assert.equal(reply.split('HTTP/1.1 ').length, 2, framing);
		}
	});

	it('never carries a key to a target, however the key is encoded', async () => {
		const encodePercent = (text: string) => [...text].map(char => `%${char.codePointAt(0)!.toString(16)}`).join('');
		const escapeJson = (text: string) => [...text].map(char => String.raw`\u${char.codePointAt(0)!.toString(16).padStart(4, '0')}`).join('');
		const encodeChatBody = (content: string) => JSON.stringify(createChatBody('MARK')).replace('MARK', content);
		const keyPlacements: Readonly<Record<string, (text: string) => ReturnType<typeof callEntry>>> = {
			query: async text => callEntry(address, `/permits/status/1?a=%zz&k=${text}`),
			queryWithoutHeader: async text => callEntry(address, `/permits/status/1?k=${text}`, {key: undefined}),
			path: async text => callEntry(address, `/permits/status/${text}`),
			body: async text => callEntry(address, CHAT_PATH, {body: encodeChatBody(text)}),
			bodyName: async text => callEntry(address, CHAT_PATH, {body: encodeChatBody('x').replace('{', `{"${text}": 1,"${text}": 2,`)}),
			agent: async text => callEntry(address, CHAT_PATH, {body: createChatBody('x'), headers: {'user-agent': `a ${text}`}}),
			idempotencyKey: async text => callEntry(address, '/permits', {body: {reference: 'k'}, headers: {[HEADERS.idempotencyKey]: text}}),
		};
		const encodings: Readonly<Record<string, (text: string) => string>> = {
			plain: text => text, percent: encodePercent, percentTwice: text => encodePercent(encodePercent(text)), escape: escapeJson,
		};
		const placementNames = fc.constantFrom(...Object.keys(keyPlacements));
		const keyCases = fc.tuple(placementNames, fc.constantFrom('plain', 'percent', 'percentTwice', 'escape'), fc.nat(TEST_KEY.length));
		await fc.assert(fc.asyncProperty(keyCases, async ([placement, encoding, encodedFrom]) => {
			const isBody = placement.startsWith('body');
			// Entries decode JSON escapes within a body and percent-encoding elsewhere. Other combinations send the plain key.
			const isDecoded = encoding === 'plain' || (encoding === 'escape') === isBody;
			const encode = encodings[isDecoded ? encoding : 'plain']!;
			// Encodes only the rest of the key from a random character on.
			const text = TEST_KEY.slice(0, encodedFrom) + encode(TEST_KEY.slice(encodedFrom));
			const {headers} = await keyPlacements[placement]!(text);
			assert.equal(headers.get(HEADERS.errorCode), ERROR_CODES.keyInBody);
		}), {seed: SEED, numRuns: 150});
		await callEntry(address, '/permits/status/1', {headers: {cookie: `key=${TEST_KEY}`, 'x-other': TEST_KEY}});
		await callEntry(address, CHAT_PATH, {body: createChatBody('x'), headers: {'x-api-key': TEST_KEY}});
		assert.equal(engine.readStats().keysSeen + service.readStats().keysSeen, 0);
	});

	it('leaves no key in logs or metrics', async () => {
		for (const daemon of [...deployment.entries, ...deployment.sidecars.map(({sidecar}) => sidecar)]) {
			const metrics = await fetch(`http://${daemon.addresses.control ?? daemon.addresses.listen}/metrics`);
			assert.ok(![...daemon.logLines, await metrics.text()].some(line => line.includes(TEST_KEY)));
		}
	});

	it('of arbitrary bytes is answered or its connection closed, and the entry keeps serving', async () => {
		const headerLines = ['Host: a', 'Content-Length: 3', 'Transfer-Encoding: chunked', 'Connection: close', 'Expect: 100-continue', 'Upgrade: h2c'];
		const lines = [...headerLines, `Authorization: Bearer ${TEST_KEY}`].map(line => `${line}\r\n`);
		const fragments = fc.constantFrom('GET ', 'POST ', CHAT_PATH, ' HTTP/1.1\r\n', '\r\n', '{}', '0\r\n\r\n', ...lines);
		const rawRequests = fc.array(fc.oneof(fragments, fc.string({maxLength: 8})), {maxLength: 12}).map(parts => parts.join(''));
		await fc.assert(fc.asyncProperty(rawRequests, async rawRequest => {
			// The invalid request line at the end makes the entry close the connection after any preceding bytes.
			const reply = await sendRaw(address, `${rawRequest}\r\n\r\n\u0000\r\n\r\n`);
			assert.ok(!reply.includes(TEST_KEY));
		}), {seed: SEED, numRuns: 150});
		const {status} = await callEntry(address, '/permits/status/1');
		assert.equal(status, 200);
	});

	it('is cancelled at its target when its caller disconnects, whether it runs or waits there', async () => {
		const cancelledBefore = engine.readStats().cancelled;
		const controllers = Array.from({length: 20}, () => new AbortController());
		const calls = controllers.map(async ({signal}, index) => callEntry(address, CHAT_PATH, {body: createChatBody(`leave ${index}`, 5000), signal}));
		await waitFor(() => engine.readStats().running === 16);
		for (const controller of controllers) {
			controller.abort();
		}

		await Promise.allSettled(calls);
		await waitFor(() => engine.readStats().running === 0);
		assert.ok(engine.readStats().cancelled >= cancelledBefore + 16);
		const {body} = await callEntry(address, CHAT_PATH, {body: createChatBody('after', 2)});
		assert.match(body, /\[DONE\]/v);
	});
});

// Guards against forwarding a faulty or truncated response of a target as a complete one.
describe('a faulty response of a target', () => {
	it('ends the request with a specific error code and the outcome "unknown", never as complete', async () => {
		const engine = await startFaultyEngine();
		const deployment = await startSmallDeployment({
			document: createSmallDocument(),
			targets: [{
				targetId: 'assistant-1', serviceId: 'assistant', kind: 'engine', address: engine.address,
			}],
		});
		const cases = [
			['malformed', ERROR_CODES.answerMalformed],
			['early', ERROR_CODES.targetFailed],
			['half', ERROR_CODES.targetFailed],
			['skipping', ERROR_CODES.answerMalformed],
			['unnumbered', ERROR_CODES.answerMalformed],
			['anonymous', ERROR_CODES.answerMalformed],
			['silent', ERROR_CODES.targetFailed],
			['odd', ERROR_CODES.targetFailed],
			['crossed', ERROR_CODES.answerCrossed],
		] as const;
		try {
			for (const [content, code] of cases) {
				let lastBody = '';
				await waitFor(async () => {
					const {body} = await callEntry(deployment.entries[0]!.addresses.listen!, CHAT_PATH, {body: createChatBody(content)});
					lastBody = body;
					// After a failure the target gets no attempts for a while, so the call is repeated.
					return !body.includes(ERROR_CODES.noTarget);
				});
				assert.match(lastBody, new RegExp(`"code":"${code}".*"outcome":"${OUTCOMES.refusedUnknown}"`, 'v'), content);
				assert.doesNotMatch(lastBody, /\[DONE\]/v, content);
			}

			await waitFor(async () => {
				const {status, body} = await callEntry(deployment.entries[0]!.addresses.listen!, CHAT_PATH, {body: createChatBody('missing')});
				return status === 404 || !body.includes(ERROR_CODES.noTarget);
			});
			const {status} = await callEntry(deployment.entries[0]!.addresses.listen!, CHAT_PATH, {body: createChatBody('missing')});
			assert.equal(status, 404, 'a failure of the type of a stream');
		} finally {
			const codes = await deployment.stop();
			await engine.close();
			assert.deepEqual(new Set(codes), new Set([0]));
		}
	});
});
