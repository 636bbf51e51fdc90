import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {HEADERS, OUTCOMES} from '@damaskspool/shared';
import {createPlainService, type PlainService, type ProxyFault} from '@damaskspool/stand-ins';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';
import {callEntry, createSmallDocument} from './smallDeploymentFixtures.js';

const CALLS_PER_ROUND = 30;
/** A caller stops re-sending a call after this time. */
const MAX_RESEND_MS = 15_000;

/** Outcomes of one call in the order of its sends: `none` for a response without outcome, `lost` for no response. */
type CallHistory = {readonly reference: string; readonly outcomes: string[]};

// Guards against running a call twice when its route is not repeatable. A caller that gets no final outcome sends the
// call again with the same idempotency key through another entry, while links, the store or an entry fail.
describe('calls that are not repeatable, re-sent by their callers', () => {
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

	/**
	 * Sends a call through one entry after another until it is answered. Gives up after MAX_RESEND_MS, or after three
	 * refusals with the outcome "unknown", because further sends reveal nothing more.
	 */
	async function sendUntilFinalOutcome(reference: string, firstEntryIndex: number): Promise<CallHistory> {
		const outcomes: string[] = [];
		const endAt = performance.now() + MAX_RESEND_MS;
		for (let sendIndex = firstEntryIndex; performance.now() < endAt; sendIndex += 1) {
			const entry = deployment.entries[sendIndex % deployment.entries.length]!;
			try {
				const response = await callEntry(entry.addresses.listen!, '/permits', {body: {reference}, headers: {[HEADERS.idempotencyKey]: reference}});
				const outcome = response.headers.get(HEADERS.outcome) ?? 'none';
				outcomes.push(outcome);
				if (outcome === OUTCOMES.answered) {
					assert.equal((JSON.parse(response.body) as {reference: string}).reference, reference);
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
				assert.equal(runs, 0, `${reference} ran although every outcome was "refused, not run"`);
			}

			if (outcomes.includes(OUTCOMES.answered)) {
				assert.equal(runs, 1);
			}
		}
	}

	async function runRound(name: string, injectFault: () => void): Promise<readonly CallHistory[]> {
		const calls = Array.from({length: CALLS_PER_ROUND}, async (_, index) => sendUntilFinalOutcome(`${name}-${index}`, index));
		injectFault();
		const histories = await Promise.all(calls);
		checkHistories(histories);
		return histories;
	}

	it('run once, and get the same response again through any entry', async () => {
		await runRound('plain', () => undefined);
		const repeated = await runRound('plain', () => undefined);
		assert.ok(repeated.every(({outcomes}) => outcomes.at(-1) === OUTCOMES.answered));
	});

	async function runRoundWithLinkFault(kind: 'breakOnReply' | 'loseRequests' | 'cut'): Promise<void> {
		const setLinkFaults = (fault: ProxyFault) => {
			deployment.sidecars[0]!.entryProxy.setFault(fault);
			deployment.sidecars[1]!.targetProxy.setFault(fault);
		};

		await runRound(kind, () => {
			setLinkFaults({kind});
			setTimeout(() => {
				setLinkFaults({kind: 'none'});
			}, 700);
		});
	}

	for (const kind of ['breakOnReply', 'loseRequests', 'cut'] as const) {
		it(`run at most once while links have the fault ${kind}`, async () => runRoundWithLinkFault(kind));
	}

	it('run at most once while replies of the store are lost', async () => {
		await runRound('store-replies', () => {
			deployment.platform.setFault({kind: 'replyLost'});
			setTimeout(() => {
				deployment.platform.setFault({kind: 'none'});
			}, 700);
		});
	});

	it('are refused with the outcome "not run" while the store is down', async () => {
		deployment.platform.setFault({kind: 'down'});
		const {headers} = await callEntry(deployment.entries[0]!.addresses.listen!, '/permits', {body: {reference: 'down'}, headers: {[HEADERS.idempotencyKey]: 'down'}});
		deployment.platform.setFault({kind: 'none'});
		assert.equal(headers.get(HEADERS.outcome), OUTCOMES.refusedNotRun);
		assert.equal(countRuns('down'), 0);
		const {outcomes} = await sendUntilFinalOutcome('down', 1);
		assert.equal(outcomes.at(-1), OUTCOMES.answered);
	});

	it('run at most once when an entry that holds claims is killed', async () => {
		const histories = await runRound('killed', () => {
			deployment.entries[0]!.signal('SIGKILL');
		});
		assert.ok(histories.every(({outcomes}) => outcomes.at(-1) !== 'lost'));
	});
});
