import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPoisonPartTracker, type PoisonPartTracker, type PoisonPartUpdates} from '../poisonPartTracker.js';

const SEED = 20_261_205;
const QUARANTINE_MS = 120_000;
/** Longer than the time in which peers report what a crashed target was running. */
const SETTLED_MS = 1000;

/** Records crashes of different targets, each with these shared parts, and decides on them `SETTLED_MS` later. */
function recordCrashes(tracker: PoisonPartTracker, partIds: readonly string[], {count = 3, nowMs = 0} = {}): void {
	for (let index = 0; index < count; index += 1) {
		tracker.recordCrash([`target${nowMs}-${index}@1`, partIds], nowMs);
	}

	tracker.decide(nowMs + SETTLED_MS);
}

describe('poison part tracker', () => {
	it('quarantines the part that three crashes share, at each entry, and no part that a completed answer has', () => {
		const [local, peer] = [createPoisonPartTracker(), createPoisonPartTracker()];
		for (const [index, own] of ['x', 'y', 'z'].entries()) {
			assert.equal(peer.isQuarantined(['bad'], 0), false);
			local.recordCrash([`target${index}@1`, ['common', 'bad', own]], 0);
			peer.recordAnswer(['common', 'good'], 0);
			peer.merge(local.takeUpdates(0, false), 0);
		}

		for (const tracker of [local, peer]) {
			tracker.decide(SETTLED_MS);
			assert.equal(tracker.isQuarantined(['common', 'bad'], SETTLED_MS), true);
			assert.equal(tracker.isQuarantined(['common', 'good', 'x'], SETTLED_MS), false);
		}
	});

	it('counts one target once, however many requests with the part it was running', () => {
		const tracker = createPoisonPartTracker();
		for (let index = 0; index < 5; index += 1) {
			tracker.recordCrash(['target@1', ['bad']], 0);
		}

		tracker.decide(SETTLED_MS);
		assert.equal(tracker.isQuarantined(['bad'], SETTLED_MS), false);
		recordCrashes(tracker, ['bad'], {count: 2, nowMs: SETTLED_MS});
		assert.equal(tracker.isQuarantined(['bad'], 2 * SETTLED_MS), true);
	});

	it('blames no other part for crashes that a quarantined part explains', () => {
		const tracker = createPoisonPartTracker();
		tracker.recordAnswer(['common', 'bystander'], 0);
		for (let index = 0; index < 8; index += 1) {
			tracker.recordCrash([`target${index}@1`, ['common', 'bad']], 1 + index);
			tracker.recordCrash([`target${index}@1`, ['common', 'bystander']], 1 + index);
		}

		tracker.decide(SETTLED_MS + 10);
		assert.equal(tracker.isQuarantined(['bad'], SETTLED_MS + 10), true);
		assert.equal(tracker.isQuarantined(['common', 'bystander'], SETTLED_MS + 10), false);
	});

	it('refuses only requests with all parts that stand in the same crashes, until an answer shows which of them is sound', () => {
		const tracker = createPoisonPartTracker();
		recordCrashes(tracker, ['first', 'middle']);
		assert.deepEqual([['first', 'middle'], ['first', 'other'], ['other', 'middle']].map(partIds => tracker.isQuarantined(partIds, SETTLED_MS)), [true, false, false]);
		tracker.recordAnswer(['other', 'middle'], 2 * SETTLED_MS);
		assert.deepEqual([['first', 'middle'], ['first', 'other'], ['other', 'middle']].map(partIds => tracker.isQuarantined(partIds, 2 * SETTLED_MS)), [true, true, false]);
	});

	it('releases a part when an answer with it is completed, also at a peer, and does not take it back from a peer that missed this', () => {
		const [local, peer, late] = [createPoisonPartTracker(), createPoisonPartTracker(), createPoisonPartTracker()];
		recordCrashes(local, ['part']);
		const updates = local.takeUpdates(SETTLED_MS, true);
		peer.merge(updates, SETTLED_MS);
		late.merge(updates, SETTLED_MS);
		assert.equal(peer.isQuarantined(['part'], SETTLED_MS), true);
		assert.deepEqual(local.recordAnswer(['part'], SETTLED_MS + 10), [{partIds: ['part'], isQuarantined: false}]);
		peer.merge(local.takeUpdates(SETTLED_MS + 11, false), SETTLED_MS + 11);
		assert.equal(peer.isQuarantined(['part'], SETTLED_MS + 12), false);
		local.merge(late.takeUpdates(SETTLED_MS + 20, true), SETTLED_MS + 20);
		assert.equal(local.isQuarantined(['part'], SETTLED_MS + 20), false);
		late.merge(local.takeUpdates(SETTLED_MS + 21, false), SETTLED_MS + 21);
		assert.equal(late.isQuarantined(['part'], SETTLED_MS + 21), false);
	});

	it('tells an entry that starts later which parts are quarantined', () => {
		const [local, started] = [createPoisonPartTracker(), createPoisonPartTracker()];
		recordCrashes(local, ['bad']);
		started.merge(local.takeUpdates(SETTLED_MS + 5000, true), 50_000);
		assert.equal(started.isQuarantined(['bad'], 50_000 + QUARANTINE_MS - 5001), true);
		assert.equal(started.isQuarantined(['bad'], 50_000 + QUARANTINE_MS - 5000), false);
	});

	it('quarantines a part for longer after a single crash once its quarantine has ended', () => {
		const tracker = createPoisonPartTracker();
		const endMs = SETTLED_MS + QUARANTINE_MS;
		recordCrashes(tracker, ['bad']);
		assert.deepEqual([endMs - 1, endMs].map(nowMs => tracker.isQuarantined(['bad'], nowMs)), [true, false]);
		recordCrashes(tracker, ['bad'], {count: 1, nowMs: endMs});
		const secondEndMs = endMs + (2 * QUARANTINE_MS);
		assert.deepEqual([secondEndMs - 1, secondEndMs].map(nowMs => tracker.isQuarantined(['bad'], nowMs)), [true, false]);
	});

	it('blames a part that was answered before only after as many crashes as users allow', () => {
		const tracker = createPoisonPartTracker();
		tracker.recordAnswer(['turned'], 0);
		recordCrashes(tracker, ['turned'], {count: 4, nowMs: 1});
		assert.equal(tracker.isQuarantined(['turned'], 2 * SETTLED_MS), false);
		recordCrashes(tracker, ['turned'], {count: 1, nowMs: 2 * SETTLED_MS});
		assert.equal(tracker.isQuarantined(['turned'], 3 * SETTLED_MS), true);
	});

	// The users' bounds: a part reaches targets at most three times after the fifth crash and the time of contact, and sound requests with its other parts go on.
	it('stops a part at all entries whatever else its requests hold, and refuses no sound request', () => {
		const step = fc.record({
			entry: fc.nat(ENTRY_COUNT - 1), first: fc.nat(2), middle: fc.nat(30), isPoison: fc.boolean(), restartDraw: fc.nat(39), bystanders: fc.array(fc.tuple(fc.nat(ENTRY_COUNT - 1), fc.nat(2), fc.nat(30)), {maxLength: 4}),
		});
		const steps = fc.array(step, {minLength: 150, maxLength: 300});
		fc.assert(fc.property(fc.constantFrom<PoisonPosition>('first', 'middle'), steps, fc.constantFrom(0, 0.1), (position, list, lossRatio) => {
			const {trackers, lateRuns} = simulateEntries(list, {position, lossRatio});
			assert.ok(lateRuns <= 3, `${lateRuns} after the fifth crash`);
			if (lossRatio === 0) {
				const soundRequests = [0, 1, 2].flatMap(first => Array.from({length: 31}, (_, middle) => createPartIds({first, middle}, undefined)));
				assert.deepEqual(trackers.flatMap(tracker => soundRequests.filter(partIds => tracker.isQuarantined(partIds, list.length * STEP_MS))), []);
			}
		}), {seed: SEED, numRuns: 100});
	});
});

type PoisonPosition = 'first' | 'middle';
type SimulatedRequest = {readonly first: number; readonly middle: number};
type SimulationStep = SimulatedRequest & {
	readonly entry: number;
	readonly isPoison: boolean;
	/** The entry starts anew before the request if this is the highest value. */
	readonly restartDraw: number;
	/** Sound requests that run on the target that crashes: entry, first and middle part. */
	readonly bystanders: ReadonlyArray<readonly [entry: number, first: number, middle: number]>;
};

const ENTRY_COUNT = 5;
const STEP_MS = 100;
const REPORT_DELAY_STEPS = 2;
const CONTACT_MS = 3000;

/** Returns the shared parts of a request, one of them the poison part unless its position is undefined. */
function createPartIds({first, middle}: SimulatedRequest, position: PoisonPosition | undefined): string[] {
	return [position === 'first' ? 'bad' : `first${first}`, position === 'middle' ? 'bad' : `middle${middle}`];
}

/** Runs one request a step at entries that exchange reports, some of which are lost. Counts requests with the poison part that ran later than allowed. */
function simulateEntries(steps: readonly SimulationStep[], {position, lossRatio}: {position: PoisonPosition; lossRatio: number}) {
	const trackers = Array.from({length: ENTRY_COUNT}, () => createPoisonPartTracker());
	const startedAtMs = trackers.map(() => Number.NEGATIVE_INFINITY);
	const reports: Array<{arrivesAt: number; from: number; updates: PoisonPartUpdates}> = [];
	let crashes = 0;
	let fifthCrashAtMs = Number.POSITIVE_INFINITY;
	let lateRuns = 0;
	for (const [index, {entry, isPoison, restartDraw, bystanders, ...request}] of steps.entries()) {
		const nowMs = index * STEP_MS;
		for (const {from, updates} of reports.filter(({arrivesAt}) => arrivesAt === index)) {
			for (const tracker of trackers.filter(candidate => candidate !== trackers[from])) {
				tracker.merge(updates, nowMs);
			}
		}

		for (const tracker of trackers) {
			tracker.decide(nowMs);
		}

		if (restartDraw === 39) {
			trackers[entry] = createPoisonPartTracker();
			startedAtMs[entry] = nowMs;
		}

		const partIds = createPartIds(request, isPoison ? position : undefined);
		const isRefused = trackers[entry]!.isQuarantined(partIds, nowMs);
		if (isPoison && !isRefused) {
			crashes += 1;
			fifthCrashAtMs = crashes === 5 ? nowMs : fifthCrashAtMs;
			lateRuns += nowMs > fifthCrashAtMs + CONTACT_MS && nowMs > startedAtMs[entry]! + CONTACT_MS ? 1 : 0;
			trackers[entry]!.recordCrash([`target@${crashes}`, partIds], nowMs);
			for (const [bystanderEntry, first, middle] of bystanders) {
				trackers[bystanderEntry]!.recordCrash([`target@${crashes}`, createPartIds({first, middle}, undefined)], nowMs);
			}
		} else if (!isRefused) {
			trackers[entry]!.recordAnswer(partIds, nowMs);
		}

		for (const from of [index % ENTRY_COUNT, (index + 2) % ENTRY_COUNT]) {
			const updates = trackers[from]!.takeUpdates(nowMs, index % 3 === 0);
			if ((index * 7) % 10 >= lossRatio * 10) {
				reports.push({arrivesAt: index + REPORT_DELAY_STEPS, from, updates});
			}
		}
	}

	return {trackers, lateRuns};
}
