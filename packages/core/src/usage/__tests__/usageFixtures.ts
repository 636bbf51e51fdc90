import assert from 'node:assert/strict';
import {type UsageRow} from '@damaskspool/shared';
import {
	advanceEntryFlush, applyEntryReply, createEntryUsageState, type EntryUsageState, recordAttemptEnd,
} from '../entryUsage.js';
import {
	advanceOrphans, applyOrphansReply, createSidecarUsageState, recordSidecarEnd, recordSidecarStart, selectFigures,
	settleSidecarAttempts, type SidecarUsageState,
} from '../sidecarUsage.js';
import {type SendUsageCall, type UsageCall, type UsageReply} from '../usageCalls.js';
import {createUsageCounts} from '../usageCounts.js';
import {advanceSealer, applySealerReply} from '../usageSealer.js';
import {createUsageSealerState, type UsageSealerState} from '../usageSealerState.js';
import {findUsageWindow} from '../usageWindows.js';

/** Length of a window in the simulation. */
export const WINDOW_MS = 1000;
const GRACE_MS = 300;
const ORPHAN_AFTER_MS = 400;
const REGION = 'r';

/** The outcome of a simulated call. A `delayed` call fails first and takes effect later. */
export type CallOutcome = 'done' | 'notDone' | 'replyLost' | 'delayed';

type SimulatedEntry = {
	readonly kind: 'entry';
	readonly usage: EntryUsageState;
	readonly sealer: UsageSealerState;
	lastSequence: number;
	isDead: boolean;
	hasDuty: boolean;
};
type SimulatedSidecar = {readonly kind: 'sidecar'; readonly usage: SidecarUsageState; readonly address: string; isDead: boolean};
type PendingCall = {readonly owner: SimulatedEntry | SimulatedSidecar; readonly effect: SendUsageCall};

/** An attempt with its actual usage. */
export type ActualAttempt = {
	readonly customerId: string;
	readonly tokens: number;
	readonly entry: SimulatedEntry;
	readonly sidecar: SimulatedSidecar;
	readonly sequence: number;
	isRunning: boolean;
};

/** A report that the platform received. */
type ReceivedReport = {readonly reportId: string; readonly figures: string; readonly rows: readonly UsageRow[]};

/**
 * Creates a simulation of two entries, two sidecars, the store and the platform.
 * A test chooses the order and the outcome of each call. At first, both entries
 * act as the holder of the duty.
 */
export function createUsageSimulation() {
	const objects = new Map<string, {version: number; value: unknown}>();
	const reports: ReceivedReport[] = [];
	const attempts: ActualAttempt[] = [];
	const pending: PendingCall[] = [];
	let delayedCalls: PendingCall[] = [];
	let lastVersion = 0;
	let runCount = 0;
	let wallMs = 50_000;

	const createEntry = (): SimulatedEntry => {
		runCount += 1;
		const runId = `e~${runCount}`;
		return {
			kind: 'entry',
			usage: createEntryUsageState(REGION, runId),
			sealer: createUsageSealerState({
				region: REGION, instanceId: 'e', runId, windowMs: WINDOW_MS, graceMs: GRACE_MS,
			}),
			lastSequence: 0,
			isDead: false,
			hasDuty: true,
		};
	};

	const createSidecar = (): SimulatedSidecar => {
		runCount += 1;
		return {
			kind: 'sidecar', usage: createSidecarUsageState({region: REGION, runId: `s~${runCount}`, orphanAfterMs: ORPHAN_AFTER_MS}), address: `s~${runCount}`, isDead: false,
		};
	};

	const entries = [createEntry(), createEntry()];
	const sidecars = [createSidecar(), createSidecar()];

	/** Copies a value, since simulated processes must not share memory. */
	const copy = <Value>(value: Value): Value => structuredClone(value);
	const runCall = (call: UsageCall): UsageReply => CALL_HANDLERS[call.kind](call as never);
	const CALL_HANDLERS: {readonly [Kind in UsageCall['kind']]: (call: Extract<UsageCall, {kind: Kind}>) => UsageReply} = {
		read({key}) {
			const object = objects.get(key);
			return object === undefined ? {status: 'absent'} : {status: 'ok', ...copy(object)};
		},
		list: ({prefix}) => ({
			status: 'ok',
			objects: [...objects].filter(([key]) => key.startsWith(prefix)).map(([key, object]) => ({key, ...copy(object)})),
		}),
		write({key, value, version}) {
			if ((objects.get(key)?.version ?? 0) !== version) {
				return {status: 'conflict'};
			}

			lastVersion += 1;
			objects.set(key, {version: lastVersion, value: copy(value)});
			return {status: 'ok', version: lastVersion};
		},
		remove({key, version}) {
			if (objects.get(key)?.version !== version) {
				return {status: 'conflict'};
			}

			objects.delete(key);
			return {status: 'ok'};
		},
		settle({address, settlement}) {
			const sidecar = sidecars.find(candidate => candidate.address === address);
			if (sidecar === undefined) {
				return {status: 'failed'};
			}

			const figures = selectFigures(sidecar.usage, settlement);
			settleSidecarAttempts(sidecar.usage, settlement);
			return {status: 'ok', value: copy(figures)};
		},
		report({body}) {
			const {reportId, rows} = body as {reportId: string; rows: UsageRow[]};
			reports.push({reportId, rows: copy(rows), figures: JSON.stringify(rows)});
			return {status: 'ok'};
		},
	};

	const enqueueEffects = (owner: PendingCall['owner'], effects: readonly SendUsageCall[]) => {
		const isReport = effects.some(({call}) => call.kind === 'report');
		assert.ok(!isReport || (owner.kind === 'entry' && owner.hasDuty), 'an entry reported usage without holding the duty');
		pending.push(...effects.map(effect => ({owner, effect})));
	};

	const createContext = ({hasDuty}: SimulatedEntry) => ({nowMs: wallMs, authority: hasDuty ? {epoch: 1, remainingMs: 5000} : undefined});
	const receiveReply = ({owner, effect}: PendingCall, reply: UsageReply) => {
		if (owner.isDead) {
			return;
		}

		if (owner.kind === 'sidecar') {
			applyOrphansReply(owner.usage, effect.callId, reply);
			return;
		}

		enqueueEffects(owner, applyEntryReply(owner.usage, effect.callId, reply));
		enqueueEffects(owner, applySealerReply(owner.sealer, effect.callId, reply, createContext(owner)));
	};

	const completeCall = (index: number, outcome: CallOutcome) => {
		const [call] = pending.splice(index % Math.max(1, pending.length), 1);
		if (call === undefined) {
			return;
		}

		const reply: UsageReply = outcome === 'done' || outcome === 'replyLost' ? runCall(call.effect.call) : {status: 'failed'};
		if (outcome === 'delayed') {
			delayedCalls.push(call);
		}

		receiveReply(call, outcome === 'replyLost' ? {status: 'failed'} : reply);
	};

	const endAttempt = (attempt: ActualAttempt) => {
		attempt.isRunning = false;
		const counts = createUsageCounts({requests: 1, generatedTokens: attempt.tokens});
		recordAttemptEnd(attempt.entry.usage, attempt.sequence, counts);
		recordSidecarEnd(attempt.sidecar.usage, {
			ledgerId: attempt.entry.usage.ledgerId, sequence: attempt.sequence, counts, nowMs: wallMs,
		});
	};

	const flush = () => {
		for (const entry of entries) {
			enqueueEffects(entry, advanceEntryFlush(entry.usage));
		}

		for (const sidecar of sidecars) {
			enqueueEffects(sidecar, advanceOrphans(sidecar.usage, wallMs, false));
		}
	};

	const seal = (index: number) => {
		const entry = entries[index]!;
		enqueueEffects(entry, advanceSealer(entry.sealer, wallMs, createContext(entry)));
	};

	return {
		attempts,
		reports,
		flush,
		seal,
		completeCall,
		advanceTime(durationMs: number) {
			wallMs += durationMs;
		},
		startAttempt(entryIndex: number, sidecarIndex: number, tokens: number) {
			const entry = entries[entryIndex]!;
			const sidecar = sidecars[sidecarIndex]!;
			entry.lastSequence += 1;
			const usage = {
				...createUsageCounts(),
				ledgerId: entry.usage.ledgerId,
				sequence: entry.lastSequence,
				customerId: `c${attempts.length}`,
				serviceId: 'assistant',
				servedIn: findUsageWindow(wallMs, WINDOW_MS),
			};
			entry.usage.attempts.set(usage.sequence, {
				usage, address: sidecar.address, isEnded: false, isFinal: false, queryCount: 0,
			});
			recordSidecarStart(sidecar.usage, usage);
			attempts.push({
				customerId: usage.customerId, tokens, entry, sidecar, sequence: usage.sequence, isRunning: true,
			});
		},
		endOldestAttempt() {
			const attempt = attempts.find(({isRunning}) => isRunning);
			if (attempt !== undefined) {
				endAttempt(attempt);
			}
		},
		killEntry(index: number) {
			entries[index]!.isDead = true;
			entries[index] = createEntry();
		},
		killSidecar(index: number) {
			const dead = sidecars[index]!;
			dead.isDead = true;
			sidecars[index] = createSidecar();
		},
		changeDuty(index: number) {
			entries[index]!.hasDuty = !entries[index]!.hasDuty;
		},
		/** Runs the delayed calls without delivering their replies. */
		runDelayedCalls() {
			for (const {effect} of delayedCalls) {
				runCall(effect.call);
			}

			delayedCalls = [];
		},
		/** Ends all faults and advances time until every window is reported. */
		runToCompletion() {
			this.runDelayedCalls();
			entries[0]!.hasDuty = true;
			for (const attempt of attempts.filter(({isRunning}) => isRunning)) {
				endAttempt(attempt);
			}

			for (let round = 0; round < 40; round += 1) {
				wallMs += WINDOW_MS / 2;
				flush();
				seal(0);
				while (pending.length > 0) {
					completeCall(0, 'done');
				}
			}
		},
	};
}
