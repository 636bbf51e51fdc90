/** Simulates targets of different speeds on shared machines before several entries, without network and clock. */
import {STAGES} from '../../serving/servingRecords.js';
import {mayBeLate} from '../mayBeLate.js';
import {type GenerationPlan} from '../generationPlan.js';
import {placeGeneration} from '../placeGeneration.js';
import {applyPeerWork} from '../peerContributions.js';
import {DEFAULT_PLACEMENT_SETTINGS} from '../placementSettings.js';
import {
	applyTargets, changeRunning, createPlacementState, type PlacedTarget, type PlacementState, sumWork, type TargetWork,
} from '../placementState.js';
import {mergeReportedSpeed, type ReportedSpeed, takeReportedSpeeds} from '../reportedSpeed.js';
import {
	type AttemptExpectation, beginLearning, recordMeasuredTime, updateServiceSpeeds,
} from '../targetSpeed.js';
import {recordStatedWorkTime} from '../workTime.js';
import {createTestDemand, createTestTarget, TEST_ENGINE} from './createTestPlacement.js';

/** Options of {@link simulateSpeeds}. */
export type SimulateSpeedsOptions = {
	readonly seed: number;
	/** Time that an engine takes as a multiple of what the settings expect. */
	readonly slowness: number;
	/** Whether targets are delayed by others on their machines. */
	readonly hasBursts: boolean;
	/** Time from which the fastest target that prefills takes three times as long. */
	readonly slowFromMs?: number;
	readonly lengthMs: number;
	readonly longPromptsPerSecond: number;
	readonly shortPromptsPerSecond: number;
	/** Share of the targets, drawn for each request, that may not be chosen, so that targets of all speeds are used. */
	readonly excludedShare?: number;
	/** Time in which long prompts come more often. */
	readonly overload?: {readonly fromMs: number; readonly untilMs: number; readonly factor: number};
	/** Whether what is too late is refused; if not, all calls are taken. */
	readonly isRefusing?: boolean;
	/** Entries whose reports do not arrive, so that no estimate of the others contains their requests. */
	readonly silentEntryCount?: number;
	/** Whether targets state their load also when they have prefilled a prompt for another target. */
	readonly isPrefillStating?: boolean;
	/** Whether a target prefills pieces of all its prompts in turn, instead of short prompts first. No estimate contains that. */
	readonly isSharing?: boolean;
	/** Whether targets state how long work takes, so that their speeds are learned. */
	readonly isLearning?: boolean;
};

/** One request. */
export type SimulatedRequest = {
	readonly sentAtMs: number;
	readonly targetId: string;
	/** Requests that its target had got before. */
	readonly previousCount: number;
	readonly expectedMs: number;
	/** `Infinity` if it was refused, or not answered by the end. */
	readonly measuredMs: number;
	/** Time until its first event if it had not been refused, by the work that its target had at that moment. Undefined if it was not refused. */
	readonly refusedMs?: number;
	readonly goalMs: number;
};

/** Target that turns slow. */
export const SLOWED_TARGET_ID = 'target2';
const ENTRY_COUNT = 5;
const PREFILL_TARGET_COUNT = 4;
const DECODE_TARGET_COUNT = 8;
const SPEEDS = [0.6, 1, 1.6] as const;
const REPORT_INTERVAL_MS = 90;
const COMPLETE_REPORTS = 10;
const TICK_INTERVAL_MS = 260;
const BURST_FACTOR = 2.5;
/** Share of the time in which a machine is busy with other programs, in bursts of 100 to 400 ms. */
const BURST_SHARE = 0.2;
const MEAN_BURST_MS = 250;
const DECODE_MS = 60;
/** Time of a prefill of 256 tokens at a target that decodes, or of 512 at one that only prefills. */
const PIECE_MS = 8;
const SHARED_TOKENS = 13_300;
const PART_COUNT = 8;
/** Latency objective of long prompts. */
export const LONG_GOAL_MS = 627;
const SHORT_GOAL_MS = 260;
/** Time for which a caller waits for the first event. */
const PATIENCE_MS = 2508;

/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
export function createSeededRandom(seed: number): () => number {
	let value = (seed * 7919) + 12_345;
	return () => {
		value = ((value * 1_103_515_245) + 12_345) % (2 ** 31);
		return value / (2 ** 31);
	};
}

type Work = {remainingMs: number; readonly isUrgent: boolean; readonly complete: () => void};
type SimulatedTarget = {readonly speed: number; readonly queue: Work[]; requestCount: number; running: number; burstUntilMs: number; workTime: number};

/** Simulates a steady load of long prompts that share parts and short prompts. */
export function simulateSpeeds(options: SimulateSpeedsOptions): SimulatedRequest[] {
	const {seed, slowness, hasBursts, slowFromMs = Number.POSITIVE_INFINITY, lengthMs, excludedShare = 0, overload, isRefusing = false, isLearning = true, silentEntryCount = 0, isPrefillStating = true, isSharing = false} = options;
	const settings = DEFAULT_PLACEMENT_SETTINGS;
	const random = createSeededRandom(seed);
	const records = Array.from({length: PREFILL_TARGET_COUNT + DECODE_TARGET_COUNT}, (_, index) =>
		createTestTarget(`target${index}`, {stage: index < PREFILL_TARGET_COUNT ? STAGES.prefill : STAGES.decode, slots: 16}));
	const targets = new Map(records.map(({targetId}, index): [string, SimulatedTarget] =>
		[targetId, {
			speed: SPEEDS[index % SPEEDS.length]!, queue: [], requestCount: 0, running: 0, burstUntilMs: 0, workTime: 1,
		}]));
	const entries = Array.from({length: ENTRY_COUNT}, (_, index) => {
		const state = createPlacementState({entryId: `entry${index}`, availabilityZone: 'zoneA'});
		applyTargets(state, records);
		for (const {targetId} of records) {
			for (let part = 0; part < PART_COUNT; part += 1) {
				state.prefixLocations.recordUse(`part${part}`, targetId, SHARED_TOKENS);
			}
		}

		return state;
	});
	const results: SimulatedRequest[] = [];
	const scheduled = new Map<number, Array<() => void>>();
	let nowMs = 0;

	const schedule = (afterMs: number, run: () => void) => {
		const atMs = Math.ceil(nowMs + Math.max(1, afterMs));
		scheduled.set(atMs, [...scheduled.get(atMs) ?? [], run]);
	};

	const computeSlowness = (target: SimulatedTarget) =>
		slowness * target.workTime / target.speed * (target === targets.get(SLOWED_TARGET_ID) && nowMs >= slowFromMs ? 3 : 1);

	const answer = (state: PlacementState, placed: PlacedTarget, expectation: AttemptExpectation, sentAtMs: number) => {
		if (!isLearning) {
			return;
		}

		const target = targets.get(placed.record.targetId)!;
		beginLearning(state, {serviceId: placed.record.serviceId, isEngine: true, settings});
		if (isPrefillStating || placed.record.stage !== STAGES.prefill) {
			placed.workTime = recordStatedWorkTime(placed.workTime, target.workTime, {meanWorkTime: 1, nowMs});
			placed.statedLoad = {
				running: Math.min(target.running, placed.record.slots),
				waiting: Math.max(0, target.running - placed.record.slots),
				statedAtMs: nowMs,
				knownRunning: sumWork(placed, nowMs).running,
			};
		}

		recordMeasuredTime(state, placed, expectation, {measuredMs: nowMs - sentAtMs, nowMs});
	};

	const send = (state: PlacementState, isLong: boolean) => {
		const goalMs = isLong ? LONG_GOAL_MS : SHORT_GOAL_MS;
		const ownTokens = 50 + Math.round(-Math.log(1 - random()) * (isLong ? 3700 : 290));
		const parts = isLong
			? [{partId: `part${Math.floor(random() * PART_COUNT)}`, tokens: SHARED_TOKENS}, {partId: 'own', tokens: ownTokens}]
			: [{partId: 'own', tokens: ownTokens}];
		const plan = placeGeneration({
			state, engine: TEST_ENGINE, settings, nowMs,
			demand: createTestDemand({
				prompt: {tokens: parts.reduce((sum, {tokens}) => sum + tokens, 0), maxOutputTokens: 8, parts},
				goalRemainingMs: goalMs,
				excludedTargetIds: new Set([...targets.keys()].filter(() => random() < excludedShare)),
			}),
		});
		if (plan === undefined) {
			return;
		}

		const {expectedFirstEventMs: expectedMs} = plan;
		if (isRefusing && !mayBeLate({
			expectedMs, goalRemainingMs: goalMs, patienceRemainingMs: PATIENCE_MS, hasWaitedBefore: false, priority: 0, customerShare: 1,
		})) {
			results.push({
				sentAtMs: nowMs, targetId: plan.decodeTarget.record.targetId, previousCount: 0, expectedMs, measuredMs: Number.POSITIVE_INFINITY, refusedMs: computeRefusedMs(plan), goalMs,
			});
			return;
		}

		run(state, plan, goalMs);
	};

	const computeRefusedMs = ({prefillTarget, decodeTarget, expectation, urgentPrefillMs, copyMs}: GenerationPlan) => {
		const target = targets.get((prefillTarget ?? decodeTarget).record.targetId)!;
		const aheadMs = target.queue.filter(({isUrgent}) => isUrgent || urgentPrefillMs === 0).reduce((sum, {remainingMs}) => sum + remainingMs, 0);
		const handoverMs = prefillTarget === undefined ? 0 : settings.handoverMs;
		return ((aheadMs + expectation.unitPrefillMs + (settings.firstEventMs / slowness)) * computeSlowness(target)) + copyMs + handoverMs;
	};

	const run = (state: PlacementState, plan: GenerationPlan, goalMs: number) => {
		const {decodeTarget, prefillTarget, expectedFirstEventMs, prefillMs, urgentPrefillMs, copyMs, handoverCopyMs} = plan;
		const first = prefillTarget ?? decodeTarget;
		const expectation = {...plan.expectation, knownRunning: sumWork(first, nowMs).running};
		const target = targets.get(first.record.targetId)!;
		const sentAtMs = nowMs;
		const previousCount = target.requestCount;
		target.requestCount += 1;
		const result = {
			sentAtMs, targetId: first.record.targetId, previousCount, expectedMs: expectedFirstEventMs, measuredMs: Number.POSITIVE_INFINITY, goalMs,
		};
		results.push(result);
		const finish = () => {
			result.measuredMs = nowMs - sentAtMs;
			schedule(DECODE_MS, () => {
				targets.get(decodeTarget.record.targetId)!.running -= 1;
				changeRunning(state, decodeTarget, -1);
			});
		};

		target.running += 1;
		changeRunning(state, first, 1);
		first.localWork.prefillMs += prefillMs;
		first.localWork.urgentPrefillMs += urgentPrefillMs;
		target.queue.push({
			remainingMs: expectation.unitPrefillMs,
			isUrgent: urgentPrefillMs > 0,
			complete() {
				schedule(copyMs - handoverCopyMs + (settings.firstEventMs / slowness * computeSlowness(target)), () => {
					first.localWork.prefillMs -= prefillMs;
					first.localWork.urgentPrefillMs -= urgentPrefillMs;
					answer(state, first, expectation, sentAtMs);
					if (prefillTarget === undefined) {
						finish();
						return;
					}

					target.running -= 1;
					targets.get(decodeTarget.record.targetId)!.running += 1;
					changeRunning(state, first, -1);
					changeRunning(state, decodeTarget, 1);
					const handedOverAtMs = nowMs;
					schedule(handoverCopyMs + settings.handoverMs, () => {
						answer(state, decodeTarget, {
							...expectation, unitPrefillMs: 0, backlogMs: 0, otherMs: handoverCopyMs, isHandover: true,
						}, handedOverAtMs);
						finish();
					});
				});
			},
		});
	};

	const receiveReport = (receiver: PlacementState, {entryId, workByTarget, speeds}: {entryId: string; workByTarget: ReadonlyMap<string, TargetWork>; speeds: readonly ReportedSpeed[]}) => {
		applyPeerWork(receiver, entryId, {
			sequence: 0, processId: '', availabilityZone: 'zoneA', receivedAtMs: nowMs, workByTarget,
		});
		for (const speed of speeds) {
			beginLearning(receiver, {serviceId: 'engines', isEngine: true, settings});
			mergeReportedSpeed(receiver, speed, nowMs);
		}
	};

	const report = (state: PlacementState, isComplete: boolean) => {
		const message = {
			entryId: state.entryId,
			workByTarget: new Map([...state.targets].map(([targetId, {localWork}]) => [targetId, {...localWork}])),
			speeds: takeReportedSpeeds(state, {isComplete, firstLearned: nowMs, nowMs}),
		};
		for (const other of entries.filter(entry => entry !== state)) {
			schedule(2, () => {
				receiveReport(other, message);
			});
		}
	};

	const advanceTarget = (target: SimulatedTarget) => {
		if (hasBursts && nowMs >= target.burstUntilMs) {
			const isBurst = target.workTime === 1 && random() < BURST_SHARE / MEAN_BURST_MS / (1 - BURST_SHARE);
			target.workTime = isBurst ? BURST_FACTOR : 1;
			target.burstUntilMs = isBurst ? nowMs + 100 + (random() * 300) : 0;
		}

		const work = isSharing
			? target.queue[Math.floor(nowMs / PIECE_MS) % target.queue.length]
			: target.queue.find(({isUrgent}) => isUrgent) ?? target.queue[0];
		if (work !== undefined) {
			work.remainingMs -= 1 / computeSlowness(target);
			if (work.remainingMs <= 0) {
				target.queue.splice(target.queue.indexOf(work), 1);
				work.complete();
			}
		}
	};

	const advance = () => {
		for (const due of scheduled.get(nowMs) ?? []) {
			due();
		}

		scheduled.delete(nowMs);
		for (const target of targets.values()) {
			advanceTarget(target);
		}

		for (const [index, state] of entries.entries()) {
			const offsetMs = nowMs + (index * REPORT_INTERVAL_MS / ENTRY_COUNT);
			if (offsetMs % REPORT_INTERVAL_MS === 0 && index >= silentEntryCount) {
				report(state, offsetMs % (COMPLETE_REPORTS * REPORT_INTERVAL_MS) === 0);
			}

			if (nowMs % TICK_INTERVAL_MS === 0) {
				updateServiceSpeeds(state, nowMs);
			}
		}

		for (const [isLong, perSecond] of [[true, options.longPromptsPerSecond], [false, options.shortPromptsPerSecond]] as const) {
			const factor = isLong && overload !== undefined && nowMs >= overload.fromMs && nowMs < overload.untilMs ? overload.factor : 1;
			if (random() < perSecond * factor / 1000) {
				send(entries[Math.floor(random() * ENTRY_COUNT)]!, isLong);
			}
		}
	};

	for (; nowMs < lengthMs; nowMs += 1) {
		advance();
	}

	return results;
}
