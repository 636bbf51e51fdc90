import {toStoreVersion} from '@damaskspool/shared';
import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {type StoredVersions, takeReportedHistory} from '../../membership/versionHistory.js';
import {takeReportedLimits} from '../limitUpdates.js';
import {type PeerReport, type ServingEffect, type ServingEvent} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {
	ROUTE_KINDS, type RouteRecord, type ServingConfiguration, type TargetRecord,
} from '../servingRecords.js';
import {listReportedVersions} from '../streamContinuity.js';
import {createServingState, type ServingState, type ServingStateOptions} from '../servingState.js';
import {createTestReport} from './createTestReport.js';

/** An entry of a simulated fleet. A restart replaces its state. */
export type TestFleetEntry = {state: ServingState; readonly name: string; processNumber: number; hasStore: boolean; hasPeers: boolean; isRunning: boolean; frozenUntilMs: number; backlog: ServingEvent[]};

/** Options of {@link createTestFleet}. */
export type TestFleetOptions = {
	readonly entryCount: number;
	/** Share of the reports between entries that are lost. */
	readonly reportLoss: number;
	/** Longest delay of a report. */
	readonly reportDelayMs: number;
	readonly seed: number;
	/** Receives every effect of an entry. */
	readonly onEffect: (entry: TestFleetEntry, effect: ServingEffect) => void;
};

/** Entries that exchange reports, on a simulated clock. */
export type TestFleet = {
	readonly entries: readonly TestFleetEntry[];
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	readonly getNowMs: () => number;
	readonly schedule: (afterMs: number, run: () => void) => void;
	/** Dispatches an event at the current time. */
	readonly dispatch: (entry: TestFleetEntry, event: ServingEvent) => void;
	/** Replaces the process of an entry, which knows nothing then. */
	readonly restart: (entry: TestFleetEntry) => void;
	/** Ends the process of an entry until the next restart. */
	readonly stop: (entry: TestFleetEntry) => void;
	/** Begins an outage of the store for up to two seconds, or ends none if there is one. */
	readonly silenceStore: () => void;
	/** Makes the store come back from the copy that was taken up to two seconds ago. */
	readonly restoreStore: () => void;
	readonly isStoreUp: () => boolean;
	readonly isStoreReached: (entry: TestFleetEntry) => boolean;
	readonly run: (lengthMs: number, onStep: () => void) => void;
};

/** Time between two steps of the clock. */
export const STEP_MS = 20;
const REPORT_INTERVAL_MS = 100;
const FULL_REPORT_INTERVAL_MS = 900;
const TICK_INTERVAL_MS = 260;
const WATCH_INTERVAL_MS = 1200;
const STORE_TIMEOUT_MS = 1200;
/** Time between two copies of the store, and how many are kept. */
const COPY_INTERVAL_MS = 500;
const MAX_COPIES = 4;

const createRoute = (kind: RouteRecord['kind']): RouteRecord => ({
	name: kind, host: 'host', pathPrefix: `/${kind}/`, kind, timeoutMs: 2000, goalMs: 300, attemptLimit: 3, priority: 0, isOpen: true, isResumable: kind === ROUTE_KINDS.stream, shares: [{serviceId: 'plain', weight: 1}],
});

const CONFIGURATION: ServingConfiguration = {
	version: 1,
	routes: [createRoute(ROUTE_KINDS.safe), createRoute(ROUTE_KINDS.stream)],
	services: new Map([['plain', {serviceId: 'plain', connectionLimit: 100, engine: undefined}]]),
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	ownersByKey: undefined,
};

/** Creates a target of the only service of a test fleet. */
export function createFleetTarget(targetId: string, fields: Partial<TargetRecord> = {}): TargetRecord {
	return createTestTarget(targetId, {
		serviceId: 'plain', stage: undefined, slots: 12, ...fields,
	});
}

/** Creates a call without a prompt. */
export function createFleetCall(callId: number, {kind, requestId, resumes}: {kind: 'safe' | 'stream'; requestId: string; resumes?: string}, nowMs: number): ServingEvent {
	return {
		type: 'call.arrived', callId, wallMs: nowMs, waitedMs: 0, completeForMs: 0, nowMs, request: {
			requestId, host: 'host', path: `/${kind}/x`, key: undefined, deadlineMs: 3000, bodyBytes: 0, prompt: undefined, fingerprint: `f${callId}`,
			...(resumes !== undefined && {resumes: {requestId: resumes, lastEventId: '1'}}),
		},
	};
}

/** Options of {@link createFleetState}. */
type FleetStateOptions = Partial<Pick<ServingStateOptions, 'hasVersionHistory' | 'hasPartHistory' | 'speedLearningMode'>> & {readonly nowMs?: number};

/** Creates the state of an entry that knows the given targets. */
export function createFleetState(
	name: string,
	processNumber: number,
	targets: readonly TargetRecord[] | undefined,
	{nowMs = 0, ...options}: FleetStateOptions = {},
): ServingState {
	const state = createServingState({
		instanceId: name, processId: `${name}.${processNumber}`, availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0.2, retryAllowance: 1000, budgetWindowMs: 10_000, ...options,
	});
	reduceServing(state, {type: 'configuration.changed', configuration: CONFIGURATION, nowMs});
	if (targets !== undefined) {
		reduceServing(state, {
			type: 'targets.changed', targets, removed: [], isComplete: true, nowMs,
		});
	}

	return state;
}

/** Makes the only service of a state one of model engines. */
export function applyEngineConfiguration(state: ServingState, kvCapacityTokens = 600_000): void {
	const engine = {kvCapacityTokens, kvBytesPerToken: 18_432, linkMbps: 180_000};
	reduceServing(state, {
		type: 'configuration.changed', configuration: {...CONFIGURATION, version: 2, services: new Map([['plain', {serviceId: 'plain', connectionLimit: 100, engine}]])}, nowMs: 0,
	});
}

/** Adds a prompt to a call. */
export function addPrompt(event: ServingEvent, tokens: number): ServingEvent {
	return event.type === 'call.arrived'
		? {...event, request: {...event.request, prompt: {tokens, maxOutputTokens: 10, parts: [{partId: 'own', tokens}]}}}
		: event;
}

/** Creates entries that know the given targets and that exchange reports once the fleet runs. */
export function createTestFleet({entryCount, reportLoss, reportDelayMs, seed, onEffect}: TestFleetOptions, listTargets: () => readonly TargetRecord[]): TestFleet {
	let randomValue = seed + 1;
	let nowMs = 0;
	const scheduled = new Map<number, Array<() => void>>();
	const entries = Array.from({length: entryCount}, (_, index): TestFleetEntry =>
		({
			state: createFleetState(`entry${index}`, 1, undefined, {hasVersionHistory: true}), name: `entry${index}`, processNumber: 1, hasStore: true, hasPeers: true, isRunning: true, frozenUntilMs: 0, backlog: [],
		}));

	const random = () => {
		randomValue = ((randomValue * 1_103_515_245) + 12_345) % (2 ** 31);
		return randomValue / (2 ** 31);
	};

	const schedule = (afterMs: number, run: () => void) => {
		const slot = Math.ceil((nowMs + Math.max(1, afterMs)) / STEP_MS);
		scheduled.set(slot, [...scheduled.get(slot) ?? [], run]);
	};

	const dispatch = (entry: TestFleetEntry, event: ServingEvent) => {
		if (!entry.isRunning) {
			return;
		}

		if (nowMs < entry.frozenUntilMs) {
			entry.backlog.push(event);
			return;
		}

		for (const effect of reduceServing(entry.state, {...event, nowMs})) {
			if (effect.type === 'versions.read' || effect.type === 'versions.write') {
				callStore(entry, effect);
			} else {
				onEffect(entry, effect);
			}
		}
	};

	let isStoreUp = true;
	let era = 1;
	let revision = 0;
	let object: {version: number; stored: StoredVersions} | undefined;
	let copies: Array<typeof object> = [];
	const isStoreReached = ({hasStore}: TestFleetEntry) => isStoreUp && hasStore;

	/** Carries out a call some time after it was sent. Its answer may be lost. */
	const callStore = (entry: TestFleetEntry, effect: Extract<ServingEffect, {type: 'versions.read' | 'versions.write'}>) => {
		const {processNumber} = entry;
		const answer = (afterMs: number, event: ServingEvent) => {
			schedule(afterMs, () => {
				if (entry.processNumber === processNumber) {
					dispatch(entry, event);
				}
			});
		};

		const isLost = random() < reportLoss;
		schedule(random() * 40, () => {
			if (!isStoreReached(entry)) {
				answer(STORE_TIMEOUT_MS, effect.type === 'versions.read'
					? {type: 'versions.readEnded', result: {kind: 'failed'}, nowMs}
					: {type: 'versions.writeEnded', result: {kind: 'unknown'}, nowMs});
				return;
			}

			passEra(entry);
			if (effect.type === 'versions.read') {
				answer(20, {
					type: 'versions.readEnded', result: isLost ? {kind: 'failed'} : {kind: 'read', version: object?.version ?? 0, stored: object?.stored}, nowMs,
				});
				return;
			}

			const isMet = effect.expectedVersion === (object?.version ?? 0);
			if (isMet) {
				revision += 1;
				object = {version: toStoreVersion({era, revision})!, stored: effect.stored};
			}

			const result = isMet ? {kind: 'written', version: object!.version, stored: effect.stored} as const : {kind: 'conflict'} as const;
			answer(isLost ? STORE_TIMEOUT_MS : 20, {type: 'versions.writeEnded', result: isLost ? {kind: 'unknown'} : result, nowMs});
		});
	};

	const passEra = (entry: TestFleetEntry) => {
		if (entry.state.storeEra < era) {
			dispatch(entry, {
				type: 'store.eraChanged', era, wallMs: nowMs, nowMs,
			});
		}
	};

	/** Lists the targets at a process that has just started, as soon as the store answers it. */
	const listAtStart = (entry: TestFleetEntry) => {
		const {processNumber} = entry;
		schedule(20, () => {
			if (entry.processNumber !== processNumber) {
				return;
			}

			if (!isStoreReached(entry)) {
				listAtStart(entry);
				return;
			}

			passEra(entry);
			dispatch(entry, {
				type: 'targets.changed', targets: listTargets(), removed: [], isComplete: true, nowMs,
			});
		});
	};

	const createReport = ({state}: TestFleetEntry, isComplete: boolean): PeerReport => createTestReport({
		entryId: state.instanceId,
		processId: state.processId,
		sequence: nowMs + 1,
		wallMs: nowMs,
		limits: takeReportedLimits(state, nowMs, isComplete),
		streams: state.streamVersions.takeUpdates(),
		serviceVersions: listReportedVersions(state, nowMs, isComplete),
		versionHistory: takeReportedHistory(state.versionHistory, isComplete),
		allotments: state.allotments.takeUpdates(nowMs, isComplete),
	});

	const report = (entry: TestFleetEntry) => {
		const message = createReport(entry, nowMs % FULL_REPORT_INTERVAL_MS === 0);
		for (const peer of entries.filter(other => other !== entry && other.hasPeers && entry.hasPeers && entry.isRunning && nowMs >= entry.frozenUntilMs)) {
			if (random() >= reportLoss) {
				schedule(random() * reportDelayMs, () => {
					passReport(peer, message);
				});
			}
		}
	};

	const passReport = (peer: TestFleetEntry, message: PeerReport) => {
		dispatch(peer, {
			type: 'peer.reported', report: message, wallMs: nowMs, nowMs,
		});
	};

	const runStep = (step: number, onStep: () => void) => {
		nowMs = step * STEP_MS;
		for (const entry of entries.filter(({frozenUntilMs}) => nowMs >= frozenUntilMs)) {
			for (const event of entry.backlog.splice(0)) {
				dispatch(entry, event);
			}
		}

		for (const run of scheduled.get(step) ?? []) {
			run();
		}

		scheduled.delete(step);
		if (nowMs % COPY_INTERVAL_MS === 0) {
			copies = [object, ...copies].slice(0, MAX_COPIES);
		}

		for (const entry of entries) {
			if (nowMs % REPORT_INTERVAL_MS === 0) {
				report(entry);
			}

			if (nowMs % TICK_INTERVAL_MS === 0) {
				dispatch(entry, {type: 'tick', wallMs: nowMs, nowMs});
			}

			if (nowMs % WATCH_INTERVAL_MS === 0 && entry.state.hasTargets && isStoreReached(entry)) {
				passEra(entry);
				dispatch(entry, {type: 'targets.confirmed', nowMs});
			}
		}

		onStep();
	};

	for (const entry of entries) {
		listAtStart(entry);
	}

	return {
		entries,
		random,
		getNowMs: () => nowMs,
		schedule,
		dispatch,
		restart(entry) {
			entry.processNumber += 1;
			entry.backlog = [];
			entry.isRunning = true;
			entry.state = createFleetState(entry.name, entry.processNumber, undefined, {nowMs, hasVersionHistory: true});
			listAtStart(entry);
		},
		stop(entry) {
			entry.isRunning = false;
		},
		silenceStore() {
			isStoreUp = false;
			schedule(200 + (random() * 1800), () => {
				isStoreUp = true;
			});
		},
		restoreStore() {
			object = copies[Math.floor(random() * copies.length)];
			era += 1;
			revision = 0;
			if (object !== undefined) {
				object = {...object, version: toStoreVersion({era, revision: 0})!};
			}
		},
		isStoreUp: () => isStoreUp,
		isStoreReached,
		run(lengthMs, onStep) {
			for (let step = 0; step * STEP_MS < lengthMs; step += 1) {
				runStep(step, onStep);
			}
		},
	};
}
