import {toEraRevision, toStoreVersion} from '@damaskspool/shared';
import {hashPart} from '../../retries/hashPart.js';
import {type StoredParts} from '../../retries/partHistory.js';
import {type SendServingAttempt, type ServingEffect, type ServingEvent} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {type ServingState} from '../servingState.js';
import {createFleetState, createFleetTarget} from './createTestFleet.js';
import {createTestReport} from './createTestReport.js';
import {
	answerAttempt, beginAttempt, crashAttempt, findSend, sendPartCall,
} from './partCalls.js';

/** Faults of a schedule. `restoreStore` brings the store back from a copy of up to two seconds ago. */
export const PART_FAULTS = {
	killAll: 'killAll', killSome: 'killSome', silenceStore: 'silenceStore', restoreStore: 'restoreStore', loseReplies: 'loseReplies',
} as const;

/** A fault, its time and what it does exactly. */
export type PartFault = {readonly kind: keyof typeof PART_FAULTS; readonly atMs: number; readonly draw: number};

/** What entries did in a simulation. */
export type PartSimulation = {
	/** Requests that reached targets with the poison part, at entries that had read of it, or in touch while the store had it before the last kill of all entries. */
	readonly lateRuns: number;
	/** Requests that were refused for the cleared part, at entries in touch, though the store did not have it at the last kill of all entries. */
	readonly lateRefusals: number;
	/** Kills of all entries, at entries in touch, at which the store lacked the poison part or had the cleared one. */
	readonly wrongAtKill: number;
};

type SimulatedEntry = {
	state: ServingState;
	processNumber: number;
	startedAtMs: number;
	isRunning: boolean;
	/** Whether the entry read of the poison part in the store. */
	hasReadPoison: boolean;
};

export const ENTRY_COUNT = 4;
const TARGET_COUNT = 12;
const STEP_MS = 50;
const REPORT_INTERVAL_MS = 100;
const FULL_REPORT_INTERVAL_MS = 900;
const TICK_INTERVAL_MS = 250;
const REQUEST_INTERVAL_MS = 150;
const STORE_TIMEOUT_MS = 1200;
const COPY_INTERVAL_MS = 500;
const MAX_COPIES = 4;
/** The users' time of contact. */
const CONTACT_MS = 3000;
/** Time at which an answer clears the part that was quarantined wrongly. */
const CLEAR_AT_MS = 4000;
const POISON = ['common', 'bad'];
const CLEARED = ['common', 'cleared'];
const LENGTH_MS = 30_000;

/** Lets entries serve requests with a poison part, and with one that crashes targets until an answer clears it, under faults. */
export function simulateParts(faults: readonly PartFault[]): PartSimulation {
	let nowMs = 0;
	let callId = 0;
	let era = 1;
	let revision = 0;
	let object: {version: number; stored: StoredParts} | undefined;
	let copies: Array<typeof object> = [];
	let silentUntilMs = 0;
	let lossyUntilMs = 0;
	let disturbedAtMs = Number.NEGATIVE_INFINITY;
	const scheduled = new Map<number, Array<() => void>>();
	const result = {lateRuns: 0, lateRefusals: 0, wrongAtKill: 0};
	let isPoisonKept = true;
	let isClearedKept = false;
	let heldCall: {entry: SimulatedEntry; processNumber: number; send: SendServingAttempt} | undefined;
	const startTimes = Array.from({length: TARGET_COUNT}, () => 0);
	const listTargets = () => startTimes.map((startedAtMs, index) => createFleetTarget(`target${index}`, {startedAtMs, slots: 100}));
	const entries: SimulatedEntry[] = [];

	const schedule = (afterMs: number, run: () => void) => {
		const slot = Math.ceil((nowMs + Math.max(1, afterMs)) / STEP_MS);
		scheduled.set(slot, [...scheduled.get(slot) ?? [], run]);
	};

	const dispatch = (entry: SimulatedEntry, event: ServingEvent) => {
		if (entry.isRunning) {
			entry.hasReadPoison ||= event.type === 'parts.readEnded' && event.result.kind === 'read' && hasParts(event.result.stored, POISON);
			carryOut(entry, reduceServing(entry.state, {...event, nowMs}));
		}
	};

	const carryOut = (entry: SimulatedEntry, effects: readonly ServingEffect[]) => {
		for (const effect of effects) {
			if (effect.type === 'parts.read' || effect.type === 'parts.write') {
				callStore(entry, effect);
			}
		}
	};

	/** Carries out a call some time after it was sent. Its answer may be lost. */
	const callStore = (entry: SimulatedEntry, effect: Extract<ServingEffect, {type: 'parts.read' | 'parts.write'}>) => {
		const {processNumber} = entry;
		const answer = (afterMs: number, event: ServingEvent) => {
			schedule(afterMs, () => {
				if (entry.processNumber === processNumber) {
					dispatch(entry, event);
				}
			});
		};

		// A late write may take effect after its sender has given up.
		const isLate = nowMs < lossyUntilMs && callId % 3 === 0;
		const isLost = nowMs < lossyUntilMs;
		schedule(isLate ? STORE_TIMEOUT_MS + 400 : STEP_MS, () => {
			const isAnswered = nowMs >= silentUntilMs;
			const isMet = effect.type === 'parts.write' && effect.expectedVersion === (object?.version ?? 0);
			if (isAnswered && effect.type === 'parts.write' && isMet) {
				revision += 1;
				object = {version: toStoreVersion({era, revision})!, stored: effect.stored};
			}

			if (!isAnswered || isLost) {
				answer(isLate ? 0 : STORE_TIMEOUT_MS, effect.type === 'parts.read'
					? {type: 'parts.readEnded', result: {kind: 'failed'}, nowMs}
					: {type: 'parts.writeEnded', result: {kind: 'unknown'}, nowMs});
			} else if (effect.type === 'parts.read') {
				answer(0, {type: 'parts.readEnded', result: {kind: 'read', version: object?.version ?? 0, stored: object?.stored}, nowMs});
			} else {
				answer(0, {type: 'parts.writeEnded', result: isMet ? {kind: 'written', version: object!.version, stored: effect.stored} : {kind: 'conflict'}, nowMs});
			}
		});
	};

	const start = (entry: SimulatedEntry, index: number) => {
		entry.processNumber += 1;
		entry.isRunning = true;
		entry.startedAtMs = nowMs;
		entry.hasReadPoison = false;
		entry.state = createFleetState(`entry${index}`, entry.processNumber, undefined, {nowMs, hasPartHistory: true});
		// The configuration made the entry read the object.
		entry.state.partHistory.isCallInFlight = false;
		dispatch(entry, {
			type: 'store.eraChanged', era, wallMs: nowMs, nowMs,
		});
		dispatch(entry, {
			type: 'targets.changed', targets: listTargets(), removed: [], isComplete: true, nowMs,
		});
	};

	const isStoreCalm = () => nowMs > Math.max(disturbedAtMs, silentUntilMs, lossyUntilMs) + CONTACT_MS;

	const isInTouch = ({startedAtMs}: SimulatedEntry) => nowMs > startedAtMs + CONTACT_MS && isStoreCalm();

	/** Brings the store back from a copy, in a new era. */
	const restoreStore = (draw: number) => {
		object = copies[draw % copies.length];
		era += 1;
		revision = object === undefined ? 0 : toEraRevision(object.version).revision;
		if (object !== undefined) {
			object = {...object, version: toStoreVersion({era, revision})!};
		}

		// Nobody is left to tell the store what the copy lacks.
		if (entries.every(({isRunning, state}) => !isRunning || !state.partHistory.isRestored)) {
			isPoisonKept &&= hasParts(object?.stored, POISON);
			isClearedKept ||= hasParts(object?.stored, CLEARED);
		}

		for (const entry of entries) {
			dispatch(entry, {
				type: 'store.eraChanged', era, wallMs: nowMs, nowMs,
			});
		}
	};

	const applyFault = ({kind, draw}: PartFault) => {
		if (kind === PART_FAULTS.killAll) {
			// Without its quarantines, the store cannot tell of them; it is bound to have them while it is not disturbed.
			const wasClearedKept = isClearedKept;
			isPoisonKept = hasParts(object?.stored, POISON);
			isClearedKept = hasParts(object?.stored, CLEARED);
			const isBound = entries.some(entry => isInTouch(entry)) && nowMs > CLEAR_AT_MS + CONTACT_MS;
			result.wrongAtKill += isBound && (!isPoisonKept || (isClearedKept && !wasClearedKept)) ? 1 : 0;
		}

		if (kind === PART_FAULTS.killAll || kind === PART_FAULTS.killSome) {
			for (const [index, entry] of entries.entries()) {
				if (kind === PART_FAULTS.killAll || (draw + index) % ENTRY_COUNT !== 0) {
					entry.isRunning = false;
					entry.processNumber += 1;
					schedule((draw * (index + 1)) % 2000, () => {
						start(entry, index);
					});
				}
			}

			return;
		}

		disturbedAtMs = nowMs;
		if (kind === PART_FAULTS.silenceStore) {
			silentUntilMs = nowMs + 200 + draw;
		} else if (kind === PART_FAULTS.loseReplies) {
			lossyUntilMs = nowMs + 200 + draw;
		} else {
			restoreStore(draw);
		}
	};

	/** Counts a request that reaches a target with the poison part later than allowed. */
	const countRun = (entry: SimulatedEntry, partIds: readonly string[]) => {
		result.lateRuns += partIds === POISON && nowMs > CONTACT_MS && (entry.hasReadPoison || (isPoisonKept && isInTouch(entry))) ? 1 : 0;
	};

	const crash = (entry: SimulatedEntry, send: SendServingAttempt, partIds: readonly string[]) => {
		const {targetId} = send.target;
		const {processNumber} = entry;
		const effects = crashAttempt(entry.state, send, nowMs);
		carryOut(entry, effects);
		const retry = findSend(effects);
		if (retry !== undefined) {
			countRun(entry, partIds);
			schedule(STEP_MS, () => {
				if (entry.processNumber === processNumber) {
					crash(entry, retry, partIds);
				}
			});
		}

		startTimes[Number(targetId.replace('target', ''))] = nowMs + 1;
		for (const other of entries) {
			dispatch(other, {
				type: 'targets.changed', targets: listTargets(), removed: [], isComplete: false, nowMs,
			});
		}
	};

	const request = (entry: SimulatedEntry, partIds: readonly string[]) => {
		callId += 1;
		const effects = sendPartCall(entry.state, callId, {partIds, nowMs});
		const send = findSend(effects);
		const isRefused = effects.some(effect => effect.type === 'call.refuse' && effect.code === 'part_quarantined');
		const isCrash = partIds === POISON || (partIds === CLEARED && nowMs < CLEAR_AT_MS);
		result.lateRefusals += partIds === CLEARED && isRefused && isInTouch(entry) && !isClearedKept && nowMs > CLEAR_AT_MS + CONTACT_MS ? 1 : 0;
		if (send === undefined) {
			return;
		}

		countRun(entry, partIds);
		if (partIds === CLEARED && heldCall === undefined) {
			// Goes on running while other requests with the part happen to run on targets that crash.
			heldCall = {entry, processNumber: entry.processNumber, send};
			beginAttempt(entry.state, send, nowMs);
		} else if (isCrash) {
			crash(entry, send, partIds);
		} else {
			answerAttempt(entry.state, send, nowMs);
		}
	};

	const report = (entry: SimulatedEntry) => {
		const {instanceId, processId, poisonParts} = entry.state;
		const message = createTestReport({
			entryId: instanceId, processId, sequence: nowMs + 1, wallMs: nowMs, poisonParts: poisonParts.takeUpdates(nowMs, nowMs % FULL_REPORT_INTERVAL_MS === 0),
		});
		schedule(STEP_MS, () => {
			for (const peer of entries.filter(other => other !== entry)) {
				dispatch(peer, {
					type: 'peer.reported', report: message, wallMs: nowMs, nowMs,
				});
			}
		});
	};

	const runStep = (step: number) => {
		nowMs = step * STEP_MS;
		for (const run of scheduled.get(step) ?? []) {
			run();
		}

		for (const fault of faults.filter(({atMs}) => atMs >= nowMs && atMs < nowMs + STEP_MS)) {
			applyFault(fault);
		}

		if (nowMs % COPY_INTERVAL_MS === 0) {
			copies = [object, ...copies].slice(0, MAX_COPIES);
		}

		if (nowMs === CLEAR_AT_MS && heldCall !== undefined && heldCall.entry.processNumber === heldCall.processNumber) {
			answerAttempt(heldCall.entry.state, heldCall.send, nowMs);
		}

		for (const entry of entries) {
			if (nowMs % REPORT_INTERVAL_MS === 0 && entry.isRunning) {
				report(entry);
			}

			if (nowMs % TICK_INTERVAL_MS === 0) {
				dispatch(entry, {type: 'tick', wallMs: nowMs, nowMs});
			}
		}

		if (nowMs % REQUEST_INTERVAL_MS === 0) {
			const running = entries.filter(({isRunning}) => isRunning);
			for (const [index, partIds] of [POISON, CLEARED, ['common', 'good']].entries()) {
				if (running.length > 0) {
					request(running[((nowMs / REQUEST_INTERVAL_MS) + index) % running.length]!, partIds);
				}
			}
		}
	};

	for (let index = 0; index < ENTRY_COUNT; index += 1) {
		const entry: SimulatedEntry = {
			state: createFleetState(`entry${index}`, 0, undefined), processNumber: 0, startedAtMs: 0, isRunning: true, hasReadPoison: false,
		};
		entries.push(entry);
		start(entry, index);
	}

	for (let step = 0; step * STEP_MS < LENGTH_MS; step += 1) {
		runStep(step);
	}

	return result;
}

/** Returns whether the object has a quarantine with the last of these parts. */
function hasParts(stored: StoredParts | undefined, partIds: readonly string[]): boolean {
	return stored?.quarantines.some(([hashes]) => hashes.includes(hashPart(partIds.at(-1)!))) === true;
}
