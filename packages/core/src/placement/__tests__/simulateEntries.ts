/** Simulates a load on the placement of many entries that know each other's work only from reports, without network and clock. */
import {STAGES} from '../../serving/servingRecords.js';
import {type GenerationPlan} from '../generationPlan.js';
import {placeGeneration} from '../placeGeneration.js';
import {applyPeerWork} from '../peerContributions.js';
import {type PlacementSettings} from '../placementSettings.js';
import {
	applyTargets, changeRunning, createPlacementState, type PlacementState, type TargetWork,
} from '../placementState.js';
import {type SpreadMode} from '../spreadState.js';
import {createTestDemand, createTestTarget, TEST_ENGINE} from './createTestPlacement.js';

/** Options of {@link simulateEntries}. */
export type SimulateEntriesOptions = {
	readonly entryCount: number;
	readonly prefillTargetCount: number;
	readonly decodeTargetCount: number;
	/** Over all entries. */
	readonly longPromptsPerSecond: number;
	/** Over all entries. */
	readonly shortPromptsPerSecond: number;
	readonly reportIntervalMs: number;
	readonly settings: PlacementSettings;
	readonly spreadMode?: SpreadMode;
	readonly seed?: number;
};

/** Results for the long prompts that arrived after the warm-up. */
export type SimulationResult = {readonly requested: number; readonly withinGoal: number; readonly meanFirstEventMs: number};

type QueuedPrefill = {remainingMs: number; readonly isUrgent: boolean; readonly complete: () => void};

const SIMULATED_MS = 6000;
/** Time at the start, while queues form, whose requests are not counted. */
const WARM_UP_MS = 500;
const ZONES = ['zoneA', 'zoneB', 'zoneC'] as const;
const PART_COUNT = 622;
const SHARED_TOKENS = 13_300;
/** Mean number of tokens of a long prompt that no other prompt shares. */
const MEAN_LONG_PRIVATE_TOKENS = 3700;
const MEAN_SHORT_PRIVATE_TOKENS = 290;
const GOAL_MS = 400;
const FIRST_EVENT_MS = 30;
const DECODE_MS = 500;
/** Delay of a report from another zone, in report intervals. Another entry forwards it once. */
const OTHER_ZONE_DELAY_INTERVALS = 1.5;

function createRandom(seed: number): () => number {
	let value = seed;
	return () => {
		value = ((value * 1_103_515_245) + 12_345) % (2 ** 31);
		return value / (2 ** 31);
	};
}

/** Simulates a steady load of long and short prompts. */
export function simulateEntries(options: SimulateEntriesOptions): SimulationResult {
	const {entryCount, prefillTargetCount, decodeTargetCount, longPromptsPerSecond, shortPromptsPerSecond, reportIntervalMs, settings, spreadMode, seed = 1} = options;
	const random = createRandom(seed);
	const targetCount = prefillTargetCount + decodeTargetCount;
	const records = Array.from({length: targetCount}, (_, index) =>
		createTestTarget(`target${index}`, {stage: index < prefillTargetCount ? STAGES.prefill : STAGES.decode, availabilityZone: ZONES[index % ZONES.length]!}));
	const entries = Array.from({length: entryCount}, (_, index) => {
		const state = createPlacementState({entryId: `entry${index}`, availabilityZone: ZONES[index % ZONES.length]!, spreadMode});
		applyTargets(state, records);
		for (let part = 0; part < PART_COUNT; part += 1) {
			state.prefixLocations.recordUse(`part${part}`, `target${part % targetCount}`, SHARED_TOKENS);
		}

		return state;
	});
	const queues = new Map(records.map(({targetId}) => [targetId, [] as QueuedPrefill[]]));
	const scheduled: Array<{readonly atMs: number; readonly run: () => void}> = [];
	let tickMs = 0;
	let requested = 0;
	let withinGoal = 0;
	let firstEventSumMs = 0;

	const send = (state: PlacementState, isLong: boolean, nowMs: number) => {
		// Exponentially distributed, so some prompts are several times as long as the mean.
		const privateTokens = 1 + Math.round(-Math.log(1 - random()) * (isLong ? MEAN_LONG_PRIVATE_TOKENS : MEAN_SHORT_PRIVATE_TOKENS));
		const parts = isLong
			? [{partId: `part${Math.floor(random() * PART_COUNT)}`, tokens: SHARED_TOKENS}, {partId: 'own', tokens: privateTokens}]
			: [{partId: 'own', tokens: privateTokens}];
		const plan = placeGeneration({
			state,
			demand: createTestDemand({
				prompt: {tokens: parts.reduce((sum, {tokens}) => sum + tokens, 0), maxOutputTokens: 120, parts}, bodyBytes: isLong ? 17_000 : 380, goalRemainingMs: isLong ? GOAL_MS : 200,
			}),
			engine: TEST_ENGINE,
			settings,
			nowMs,
		});
		const isCounted = isLong && nowMs >= WARM_UP_MS;
		requested += isCounted ? 1 : 0;
		if (plan === undefined || plan.expectedFirstEventMs - plan.prefillMs > GOAL_MS * settings.refuseAtGoals) {
			return;
		}

		addWork(state, plan, nowMs, firstEventMs => {
			withinGoal += isCounted && firstEventMs <= GOAL_MS ? 1 : 0;
			firstEventSumMs += isCounted ? firstEventMs : 0;
		});
		if (isLong) {
			for (const entry of entries) {
				entry.prefixLocations.recordUse(parts[0]!.partId, (plan.prefillTarget ?? plan.decodeTarget).record.targetId, SHARED_TOKENS);
			}
		}
	};

	const addWork = (state: PlacementState, {decodeTarget, prefillTarget, prefillMs, urgentPrefillMs, copyMs}: GenerationPlan, sentAtMs: number, onFirstEvent: (firstEventMs: number) => void) => {
		const {localWork} = prefillTarget ?? decodeTarget;
		changeRunning(state, prefillTarget ?? decodeTarget, 1);
		localWork.prefillMs += prefillMs;
		localWork.urgentPrefillMs += urgentPrefillMs;
		queues.get((prefillTarget ?? decodeTarget).record.targetId)!.push({
			remainingMs: prefillMs,
			isUrgent: urgentPrefillMs > 0,
			complete() {
				localWork.prefillMs -= prefillMs;
				localWork.urgentPrefillMs -= urgentPrefillMs;
				changeRunning(state, prefillTarget ?? decodeTarget, -1);
				changeRunning(state, decodeTarget, 1);
				onFirstEvent(tickMs - sentAtMs + copyMs + FIRST_EVENT_MS + (prefillTarget === undefined ? 0 : settings.handoverMs));
				scheduled.push({
					atMs: tickMs + DECODE_MS,
					run() {
						changeRunning(state, decodeTarget, -1);
					},
				});
			},
		});
	};

	const report = (state: PlacementState, nowMs: number) => {
		const workByTarget = new Map<string, TargetWork>([...state.targets].map(([targetId, {localWork}]) => [targetId, {...localWork}]));
		for (const other of entries) {
			if (other !== state) {
				const receivedAtMs = nowMs + (other.availabilityZone === state.availabilityZone ? 1 : reportIntervalMs * OTHER_ZONE_DELAY_INTERVALS);
				scheduled.push({
					atMs: receivedAtMs,
					run() {
						applyPeerWork(other, state.entryId, {
							sequence: 0, processId: '', availabilityZone: state.availabilityZone, receivedAtMs, workByTarget,
						});
					},
				});
			}
		}
	};

	const runTick = () => {
		const due = scheduled.filter(({atMs}) => atMs <= tickMs);
		scheduled.splice(0, scheduled.length, ...scheduled.filter(({atMs}) => atMs > tickMs));
		for (const {run} of due) {
			run();
		}

		for (const queue of queues.values()) {
			const prefill = queue.find(({isUrgent}) => isUrgent) ?? queue[0];
			if (prefill !== undefined) {
				prefill.remainingMs -= 1;
				if (prefill.remainingMs <= 0) {
					queue.splice(queue.indexOf(prefill), 1);
					prefill.complete();
				}
			}
		}

		for (const [index, state] of entries.entries()) {
			if ((tickMs + Math.round(index * reportIntervalMs / entryCount)) % reportIntervalMs === 0) {
				report(state, tickMs);
			}
		}

		for (const [isLong, perSecond] of [[true, longPromptsPerSecond], [false, shortPromptsPerSecond]] as const) {
			for (let expected = perSecond / 1000; expected > 0; expected -= 1) {
				if (random() < expected) {
					send(entries[Math.floor(random() * entryCount)]!, isLong, tickMs);
				}
			}
		}
	};

	for (; tickMs < SIMULATED_MS; tickMs += 1) {
		runTick();
	}

	return {requested, withinGoal, meanFirstEventMs: firstEventSumMs / Math.max(1, requested)};
}
