/** Plays a load through the placement of many entries that know one another's work only from reports: no network, no clock. */
import {STAGES} from '../../serving/servingRecords.js';
import {type GenerationPlan, placeGeneration} from '../placeGeneration.js';
import {type PlacementSettings} from '../placementSettings.js';
import {
	applyTargets, createPlacementState, type PlacementState, type TargetWork,
} from '../placementState.js';
import {createTestDemand, createTestTarget, TEST_ENGINE} from './createTestPlacement.js';

/** Options of {@link playEntries}. */
export type PlayEntriesOptions = {
	readonly entryCount: number;
	/** Targets that read prompts apart, and targets that generate. */
	readonly readerCount: number;
	readonly generatorCount: number;
	/** Long prompts a second, over all entries. */
	readonly longPerSecond: number;
	/** Short prompts a second, over all entries. */
	readonly shortPerSecond: number;
	/** Time between two reports of an entry. */
	readonly reportMs: number;
	readonly settings: PlacementSettings;
	readonly seed?: number;
};

/** What callers got. */
export type PlayedEntries = {readonly asked: number; readonly inGoal: number; readonly meanStartMs: number};

type Read = {remainingMs: number; readonly isLong: boolean; readonly begin: () => void};

const PLAYED_MS = 6000;
/** Time left out at the start, in which queues form. */
const WARM_MS = 500;
const ZONES = ['zoneA', 'zoneB', 'zoneC'] as const;
const PART_COUNT = 622;
const SHARED_TOKENS = 13_300;
/** Mean tokens of a prompt that no other shares. */
const LONG_TOKENS = 3700;
const SHORT_TOKENS = 290;
const GOAL_MS = 400;
const FIRST_EVENT_MS = 30;
const GENERATE_MS = 500;
/** Time after which the work of another zone arrives, in intervals: it is passed on once. */
const FAR_INTERVALS = 1.5;

function createRandom(seed: number): () => number {
	let value = seed;
	return () => {
		value = ((value * 1_103_515_245) + 12_345) % (2 ** 31);
		return value / (2 ** 31);
	};
}

/**
 * Plays a steady load of long and short prompts.
 *
 * @param options - entries, targets, load, and how old what they know is
 * @returns what the callers of long prompts got
 */
export function playEntries(options: PlayEntriesOptions): PlayedEntries {
	const {entryCount, readerCount, generatorCount, longPerSecond, shortPerSecond, reportMs, settings, seed = 1} = options;
	const random = createRandom(seed);
	const targetCount = readerCount + generatorCount;
	const records = Array.from({length: targetCount}, (_, index) =>
		createTestTarget(`target${index}`, {stage: index < readerCount ? STAGES.prefill : STAGES.decode, availabilityZone: ZONES[index % ZONES.length]!}));
	const entries = Array.from({length: entryCount}, (_, index) => {
		const state = createPlacementState({entryId: `entry${index}`, availabilityZone: ZONES[index % ZONES.length]!});
		applyTargets(state, records);
		for (let part = 0; part < PART_COUNT; part += 1) {
			state.homes.recordUse(`part${part}`, `target${part % targetCount}`, SHARED_TOKENS);
		}

		return state;
	});
	const queues = new Map(records.map(({targetId}) => [targetId, [] as Read[]]));
	const later: Array<{readonly atMs: number; readonly run: () => void}> = [];
	let tickMs = 0;
	let asked = 0;
	let inGoal = 0;
	let startSumMs = 0;

	const send = (state: PlacementState, isLong: boolean, nowMs: number) => {
		// Exponential, so that some prompts are several times as long as the mean.
		const ownTokens = 1 + Math.round(-Math.log(1 - random()) * (isLong ? LONG_TOKENS : SHORT_TOKENS));
		const parts = isLong
			? [{partId: `part${Math.floor(random() * PART_COUNT)}`, tokens: SHARED_TOKENS}, {partId: 'own', tokens: ownTokens}]
			: [{partId: 'own', tokens: ownTokens}];
		const plan = placeGeneration({
			state,
			demand: createTestDemand({
				prompt: {tokens: parts.reduce((sum, {tokens}) => sum + tokens, 0), outputTokens: 120, parts}, bodyBytes: isLong ? 17_000 : 380, goalLeftMs: isLong ? GOAL_MS : 200,
			}),
			engine: TEST_ENGINE,
			settings,
			nowMs,
		});
		const isCounted = isLong && nowMs >= WARM_MS;
		asked += isCounted ? 1 : 0;
		if (plan === undefined || plan.startMs - plan.readMs > GOAL_MS * settings.refuseAtGoals) {
			return;
		}

		holdWork(plan, nowMs, startMs => {
			inGoal += isCounted && startMs <= GOAL_MS ? 1 : 0;
			startSumMs += isCounted ? startMs : 0;
		});
		if (isLong) {
			for (const entry of entries) {
				entry.homes.recordUse(parts[0]!.partId, (plan.reader ?? plan.target).record.targetId, SHARED_TOKENS);
			}
		}
	};

	const holdWork = ({target, reader, readMs, copyMs, isLong}: GenerationPlan, sentAtMs: number, onStart: (startMs: number) => void) => {
		const {own} = reader ?? target;
		const shortReadMs = isLong ? 0 : readMs;
		own.running += 1;
		own.readMs += readMs;
		own.shortReadMs += shortReadMs;
		queues.get((reader ?? target).record.targetId)!.push({
			remainingMs: readMs,
			isLong,
			begin() {
				own.readMs -= readMs;
				own.shortReadMs -= shortReadMs;
				own.running -= 1;
				target.own.running += 1;
				onStart(tickMs - sentAtMs + copyMs + FIRST_EVENT_MS + (reader === undefined ? 0 : settings.handoverMs));
				later.push({
					atMs: tickMs + GENERATE_MS,
					run() {
						target.own.running -= 1;
					},
				});
			},
		});
	};

	const report = (state: PlacementState, nowMs: number) => {
		const workByTarget = new Map<string, TargetWork>([...state.targets].map(([targetId, {own}]) => [targetId, {...own}]));
		for (const other of entries) {
			if (other !== state) {
				const atMs = nowMs + (other.availabilityZone === state.availabilityZone ? 1 : reportMs * FAR_INTERVALS);
				later.push({
					atMs,
					run() {
						other.peers.set(state.entryId, {
							sequence: 0, processId: '', atMs, workByTarget,
						});
					},
				});
			}
		}
	};

	const playTick = () => {
		const due = later.filter(({atMs}) => atMs <= tickMs);
		later.splice(0, later.length, ...later.filter(({atMs}) => atMs > tickMs));
		for (const {run} of due) {
			run();
		}

		for (const queue of queues.values()) {
			// Short prompts are read before long ones.
			const read = queue.find(({isLong}) => !isLong) ?? queue[0];
			if (read !== undefined) {
				read.remainingMs -= 1;
				if (read.remainingMs <= 0) {
					queue.splice(queue.indexOf(read), 1);
					read.begin();
				}
			}
		}

		for (const [index, state] of entries.entries()) {
			if ((tickMs + Math.round(index * reportMs / entryCount)) % reportMs === 0) {
				report(state, tickMs);
			}
		}

		for (const [isLong, perSecond] of [[true, longPerSecond], [false, shortPerSecond]] as const) {
			for (let left = perSecond / 1000; left > 0; left -= 1) {
				if (random() < left) {
					send(entries[Math.floor(random() * entryCount)]!, isLong, tickMs);
				}
			}
		}
	};

	for (; tickMs < PLAYED_MS; tickMs += 1) {
		playTick();
	}

	return {asked, inGoal, meanStartMs: startSumMs / Math.max(1, asked)};
}
