import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {HEADERS, OUTCOMES} from '@damaskspool/shared';
import {createPlainService, type PlainService, type ProxyFault} from '@damaskspool/stand-ins';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {callEntry, createSmallDocument} from './smallDeploymentFixtures.js';

/** Calls of one round. */
const CALLS = 30;
/** Longest time for which a caller re-sends. */
const RESEND_LIMIT_MS = 15_000;

/** What a caller was told of one call, over all its sends. */
type CallHistory = {readonly reference: string; readonly outcomes: string[]};

describe('calls that may not be repeated, sent again by their callers', () => {
	let services: PlainService[];
	let deployment: SmallDeployment;

	before(async () => {
		services = await Promise.all([0, 1].map(async () => createPlainService({callMs: 20})));
		deployment = await startSmallDeployment({
			document: createSmallDocument(),
			targets: services.map((service, index) => ({
				targetId: `booking-${index}`, serviceId: 'booking', kind: 'plain' as const, address: service.address,
			})),
			entryCount: 3,
		});
	});

	after(async () => {
		await deployment.stop();
		await Promise.all(services.map(async service => service.close()));
	});

	const countRuns = (reference: string) => services.reduce((sum, service) => sum + (service.readStats().runsByReference.get(reference) ?? 0), 0);

	/** Sends a call through one entry after the other until it is answered, or nothing more can be known. */
	async function sendUntilKnown(reference: string, first: number): Promise<CallHistory> {
		const outcomes: string[] = [];
		const endAt = performance.now() + RESEND_LIMIT_MS;
		for (let turn = first; performance.now() < endAt; turn += 1) {
			const entry = deployment.entries[turn % deployment.entries.length]!;
			try {
				const answer = await callEntry(entry.addresses.listen!, '/permits', {body: {reference}, headers: {[HEADERS.idempotencyKey]: reference}});
				const outcome = answer.headers.get(HEADERS.outcome) ?? 'none';
				outcomes.push(outcome);
				if (outcome === OUTCOMES.answered) {
					assert.equal((JSON.parse(answer.body) as {reference: string}).reference, reference);
					break;
				}

				if (outcome === OUTCOMES.refusedUnknown && outcomes.filter(seen => seen === outcome).length > 2) {
					break;
				}
			} catch {
				outcomes.push('lost');
			}

			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
		}

		return {reference, outcomes};
	}

	function checkHistories(histories: readonly CallHistory[]): void {
		for (const {reference, outcomes} of histories) {
			const runs = countRuns(reference);
			assert.ok(runs <= 1, `${reference} ran ${runs} times: ${outcomes.join(' ')}`);
			if (outcomes.every(outcome => outcome === OUTCOMES.refusedNotRun)) {
				assert.equal(runs, 0, `${reference} ran although every refusal said not run`);
			}

			if (outcomes.includes(OUTCOMES.answered)) {
				assert.equal(runs, 1);
			}
		}
	}

	async function runRound(name: string, disturb: () => void): Promise<readonly CallHistory[]> {
		const calls = Array.from({length: CALLS}, async (_, index) => sendUntilKnown(`${name}-${index}`, index));
		disturb();
		const histories = await Promise.all(calls);
		checkHistories(histories);
		return histories;
	}

	it('run once, and are answered again with the same answer through any entry', async () => {
		await runRound('plain', () => undefined);
		const again = await runRound('plain', () => undefined);
		assert.ok(again.every(({outcomes}) => outcomes.at(-1) === OUTCOMES.answered));
	});

	async function runFaultyRound(kind: 'breakOnReply' | 'loseRequests' | 'cut'): Promise<void> {
		const setFaults = (fault: ProxyFault) => {
			deployment.sidecars[0]!.entryProxy.setFault(fault);
			deployment.sidecars[1]!.targetProxy.setFault(fault);
		};

		await runRound(kind, () => {
			setFaults({kind});
			setTimeout(() => {
				setFaults({kind: 'none'});
			}, 700);
		});
	}

	for (const kind of ['breakOnReply', 'loseRequests', 'cut'] as const) {
		it(`run at most once when links ${kind} for a while`, async () => runFaultyRound(kind));
	}

	it('run at most once when replies of the store are lost', async () => {
		await runRound('store-replies', () => {
			deployment.platform.setFault({kind: 'replyLost'});
			setTimeout(() => {
				deployment.platform.setFault({kind: 'none'});
			}, 700);
		});
	});

	it('are refused as not run while the store is down', async () => {
		deployment.platform.setFault({kind: 'down'});
		const {headers} = await callEntry(deployment.entries[0]!.addresses.listen!, '/permits', {body: {reference: 'down'}, headers: {[HEADERS.idempotencyKey]: 'down'}});
		deployment.platform.setFault({kind: 'none'});
		assert.equal(headers.get(HEADERS.outcome), OUTCOMES.refusedNotRun);
		assert.equal(countRuns('down'), 0);
		const {outcomes} = await sendUntilKnown('down', 1);
		assert.equal(outcomes.at(-1), OUTCOMES.answered);
	});

	it('run at most once when an entry that owns claims is killed', async () => {
		const histories = await runRound('killed', () => {
			deployment.entries[0]!.signal('SIGKILL');
		});
		assert.ok(histories.every(({outcomes}) => outcomes.at(-1) !== 'lost'));
	});
});
