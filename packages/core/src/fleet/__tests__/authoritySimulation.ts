import assert from 'node:assert/strict';
import {
	type FleetRecord, type InstanceRecord, type LeaseRecord, type OrderNumber, type TargetRole,
} from '@damaskspool/shared';
import {toLoadReport} from '../../admission/admissionState.js';
import {findHeldDuty} from '../../lease/leaseState.js';
import {type PlanZone} from '../../planning/zonePlan.js';
import {type EntryEffect} from '../../reducer/entryEffects.js';
import {type EntryEvent} from '../../reducer/entryEvents.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState, type EntryState} from '../../reducer/entryState.js';
import {type SidecarEffect} from '../../reducer/sidecarEffects.js';
import {type SidecarEvent} from '../../reducer/sidecarEvents.js';
import {reduceSidecar} from '../../reducer/sidecarReducer.js';
import {createSidecarState, type SidecarState} from '../../reducer/sidecarState.js';
import {mayCallPlatform, mayChangeTarget} from '../authorityChecks.js';
import {type TargetStep} from '../orderMessages.js';

/** Time that an engine takes for a change. */
const ENGINE_CHANGE_MS = 1500;
/** Interval between rounds of instance lists, load reports and new work. */
const REPORT_INTERVAL_MS = 300;
const STEP_MS = 100;
const ZONE = 'a';

/** A process with its state, clock, queued events, and effects that have not run yet. */
type SimulatedProcess<State, Event, Effect> = {
	readonly name: string;
	state: State;
	inbox: Array<(nowMs: number) => Event>;
	outbox: Effect[];
	isPaused: boolean;
	/** Type of the effect before which the process pauses. The reducer has already returned the effect. */
	pauseBeforeEffect: string | undefined;
	isStoreUnreachable: boolean;
	/** Whether messages from this process to peers are lost. */
	isOutboundLost: boolean;
	/** Whether messages from peers to this process are lost. */
	isInboundLost: boolean;
	readonly clockOffsetMs: number;
	readonly clockRate: number;
};
type SimulatedEntry = SimulatedProcess<EntryState, EntryEvent, EntryEffect>;
type SimulatedSidecar = SimulatedProcess<SidecarState, SidecarEvent, SidecarEffect> & {readonly engine: SimulatedEngine};
type SimulatedEngine = {
	role: TargetRole; models: string[]; isDown: boolean; change: {step: TargetStep; isCancelled: boolean} | undefined; lastOrder: OrderNumber; checksFencing: boolean;
};
type StoredObject<Value> = {version: number; value: Value | undefined};

/** Entries and sidecars with the real reducers, and fakes of the store, the platform and the engines. Its assertions fail if a process acts without authority. */
export type AuthoritySimulation = ReturnType<typeof createAuthoritySimulation>;

/** Plans a new step every two seconds of the holder's clock, so that orders and platform calls are always in progress. */
const planFrequentSteps: PlanZone = ({nowMs, targets}) => {
	const round = Math.floor(nowMs / 2000);
	const target = targets[round % Math.max(1, targets.length)];
	if (target === undefined || round % 2 === 1) {
		return {step: {kind: 'startTarget', serviceId: 's'}, reason: 'test'};
	}

	return round % 4 === 2
		? {step: {kind: 'loadModel', targetId: target.targetId, modelId: `m${round % 5}`}, reason: 'test'}
		: {step: {kind: 'changeRole', targetId: target.targetId, role: target.role === 'mixed' ? 'prefill' : 'mixed'}, reason: 'test'};
};

/**
 * Creates a simulation of three entries and two targets in one availability zone. One target checks fencing tokens, and
 * the other ignores them.
 */
export function createAuthoritySimulation() {
	const environment = {nowMs: 0, fault: 'none', isNetworkSlow: false};
	const lease: StoredObject<LeaseRecord> = {version: 0, value: undefined};
	const fleet: StoredObject<FleetRecord> = {version: 0, value: undefined};
	const writtenOrders = new Map<string, string>();
	const scheduledActions: Array<{atMs: number; run: () => void}> = [];
	const offerSenders: Array<() => void> = [];
	const counts = {
		changes: 0, platformCalls: 0, restarts: 0, work: 0,
	};
	const platformKeys = new Map<string, string>();
	let maxEpoch = 0;

	const schedule = (delayMs: number, run: () => void) => {
		scheduledActions.push({atMs: environment.nowMs + delayMs, run});
	};

	const readClock = ({clockOffsetMs, clockRate}: {clockOffsetMs: number; clockRate: number}) => clockOffsetMs + (environment.nowMs * clockRate);
	const createProcess = (name: string, index: number) => ({
		name, inbox: [], outbox: [], isPaused: false, pauseBeforeEffect: undefined, isStoreUnreachable: false, isOutboundLost: false, isInboundLost: false,
		clockOffsetMs: index * 1_000_000, clockRate: 1 + (((index % 3) - 1) * 0.03),
	});
	const createEntry = (index: number, processId: string): SimulatedEntry => ({
		...createProcess(`e${index}`, index),
		state: createEntryState({
			instanceId: `e${index}`, availabilityZone: ZONE, region: 'r', processId, planZone: planFrequentSteps,
		}),
	});
	const createSidecar = (index: number, processId: string, engine: SimulatedEngine): SimulatedSidecar => ({
		...createProcess(`t${index}`, index + 1),
		engine,
		state: createSidecarState({instanceId: `t${index}`, processId, capacity: {concurrency: 4, kvBlocks: 64, queueLimit: 4}}),
	});
	const entries = [0, 1, 2].map(index => createEntry(index, `e${index}.0`));
	const sidecars = [0, 1].map(index => createSidecar(index, `t${index}.0`, {
		role: 'mixed', models: ['m'], isDown: false, change: undefined, lastOrder: {epoch: 0, sequence: 0}, checksFencing: index === 0,
	}));

	/** Delivers a message to a peer, unless the sender's outbound or the receiver's inbound messages are lost. */
	const sendOverNetwork = (from: {isOutboundLost: boolean}, to: {isInboundLost: boolean}, run: () => void) => {
		if (!from.isOutboundLost && !to.isInboundLost) {
			schedule(environment.isNetworkSlow ? 900 : 0, run);
		}
	};

	const sendToEntry = (from: {isOutboundLost: boolean}, to: SimulatedEntry, createEvent: (nowMs: number) => EntryEvent) => {
		sendOverNetwork(from, to, () => {
			to.inbox.push(createEvent);
		});
	};

	const sendToSidecar = (from: {isOutboundLost: boolean}, to: SimulatedSidecar, createEvent: (nowMs: number) => SidecarEvent) => {
		sendOverNetwork(from, to, () => {
			to.inbox.push(createEvent);
		});
	};

	const writeObject = <Value>(stored: StoredObject<Value>, value: Value, expectedVersion: number) => {
		if (stored.version !== expectedVersion) {
			return false;
		}

		stored.version += 1;
		stored.value = value;
		return true;
	};

	type WriteResult = {kind: 'written'; version: number} | {kind: 'conflict'} | {kind: 'unknown'};
	/** Writes under the current fault. `commit` makes the write and returns whether it took effect. */
	const writeWithFault = (entry: SimulatedEntry, stored: StoredObject<unknown>, commit: () => boolean): WriteResult => {
		if (environment.fault === 'down' || entry.isStoreUnreachable) {
			return {kind: 'unknown'};
		}

		if (environment.fault === 'slow') {
			schedule(1200, () => {
				commit();
			});
			return {kind: 'unknown'};
		}

		const isWritten = commit();
		if (environment.fault === 'replyLost') {
			return {kind: 'unknown'};
		}

		return isWritten ? {kind: 'written', version: stored.version} : {kind: 'conflict'};
	};

	const isStoreUnavailable = (process: {isStoreUnreachable: boolean}) => environment.fault === 'down' || process.isStoreUnreachable;

	const writeFleetRecord = (record: FleetRecord, expectedVersion: number) => {
		const before = fleet.value?.epoch ?? 0;
		const isWritten = writeObject(fleet, record, expectedVersion);
		if (isWritten) {
			assert.ok(record.epoch >= before, 'a late write of a previous holder replaced the fleet record');
			for (const {targetId, order, desired} of record.assignments) {
				writtenOrders.set(`${targetId} ${order.epoch}.${order.sequence}`, JSON.stringify(desired));
			}
		}

		return isWritten;
	};

	type Handlers<Effect extends {type: string}, Owner> = {[Type in Effect['type']]?: (owner: Owner, effect: Extract<Effect, {type: Type}>) => void};
	const entryEffects: Handlers<EntryEffect, SimulatedEntry> = {
		'lease.read'(entry, {dutyName, callId}) {
			const result = isStoreUnavailable(entry) ? {kind: 'failed'} as const : {kind: 'read', version: lease.version, record: lease.value} as const;
			entry.inbox.push(nowMs => ({
				type: 'lease.readEnded', nowMs, dutyName, callId, result,
			}));
		},
		'lease.write'(entry, {dutyName, callId, record, expectedVersion}) {
			const result = writeWithFault(entry, lease, () => writeObject(lease, record, expectedVersion));
			entry.inbox.push(nowMs => ({
				type: 'lease.writeEnded', nowMs, dutyName, callId, result,
			}));
		},
		'fleet.read'(entry, {callId}) {
			const result = isStoreUnavailable(entry) ? {kind: 'failed'} as const : {kind: 'read', version: fleet.version, record: fleet.value} as const;
			entry.inbox.push(nowMs => ({
				type: 'fleet.readEnded', nowMs, callId, result,
			}));
		},
		'fleet.write'(entry, {callId, record, expectedVersion}) {
			const result = writeWithFault(entry, fleet, () => writeFleetRecord(record, expectedVersion));
			entry.inbox.push(nowMs => ({
				type: 'fleet.writeEnded', nowMs, callId, result,
			}));
		},
		'order.offer'(entry, {targetId, dutyName, order, desired}) {
			assert.equal(writtenOrders.get(`${targetId} ${order.epoch}.${order.sequence}`), JSON.stringify(desired), 'an order was sent that had not been stored');
			const offer = {
				targetId, dutyName, holderAddress: entry.name, order, desired,
			};
			const offerId = `${entry.name} ${order.epoch}.${order.sequence}`;
			const sendOffer = () => {
				sendToSidecar(entry, sidecars.find(({name}) => name === targetId)!, nowMs => ({
					type: 'order.offered', nowMs, offerId, offer,
				}));
			};

			offerSenders.push(sendOffer);
			sendOffer();
		},
		'platform.call'(entry, effect) {
			if (!mayCallPlatform(entry.state.lease, effect, readClock(entry))) {
				return;
			}

			const {intent, epoch} = effect;
			schedule(environment.isNetworkSlow ? 1900 : 0, () => {
				assert.ok(epoch >= maxEpoch, 'the platform was called by a process that had lost its authority');
				counts.platformCalls += 1;
				const content = JSON.stringify([intent.action, intent.serviceId, intent.targetId]);
				assert.equal(platformKeys.get(intent.key) ?? content, content, 'one idempotency key was used for two different calls');
				platformKeys.set(intent.key, content);
				if (environment.fault !== 'replyLost') {
					sendToEntry({isOutboundLost: false}, entry, nowMs => ({
						type: 'platform.answered', nowMs, key: intent.key, isTaken: true,
					}));
				}
			});
		},
	};

	const sidecarEffects: Handlers<SidecarEffect, SimulatedSidecar> = {
		'order.reply'(sidecar, {offerId, reply}) {
			const [entryName, orderNumber] = offerId.split(' ') as [string, string];
			const [epoch, sequence] = orderNumber.split('.').map(Number) as [number, number];
			const entry = entries.find(({name}) => name === entryName)!;
			sendToEntry(sidecar, entry, nowMs => ({
				type: 'offer.answered', nowMs, targetId: sidecar.name, order: {epoch, sequence}, status: reply.status,
			}));
		},
		'authority.ask'(sidecar, {nonce, holderAddress, dutyName}) {
			const entry = entries.find(({name}) => name === holderAddress)!;
			// The holder creates the proof when it runs next, by its clock at that time.
			sendToEntry(sidecar, entry, nowMs => {
				const held = findHeldDuty(entry.state.lease, dutyName, nowMs);
				sendToSidecar(entry, sidecar, answeredAtMs => ({
					type: 'authority.answered', nowMs: answeredAtMs, nonce, proof: held === undefined ? undefined : {nonce, ...held},
				}));
				return {type: 'load.reported', nowMs, load: toLoadReport(sidecar.state.admission, 0)};
			});
		},
		'target.change'(sidecar, effect) {
			const answer = (isDone: boolean) => {
				sidecar.inbox.push(nowMs => ({
					type: 'target.changed', nowMs, stepId: effect.stepId, isDone,
				}));
			};

			if (!mayChangeTarget(effect, readClock(sidecar))) {
				answer(false);
				return;
			}

			applyEngineStep(sidecar, effect.order, effect.step, answer);
		},
		'assignment.read'(sidecar) {
			if (!isStoreUnavailable(sidecar)) {
				const assignment = fleet.value?.assignments.find(({targetId}) => targetId === sidecar.name);
				sidecar.inbox.push(nowMs => ({
					type: 'assignment.wasRead', nowMs, epoch: fleet.value?.epoch ?? 0, assignment,
				}));
			}
		},
		'work.start'(sidecar, {attemptId}) {
			assert.equal(sidecar.state.admission.lifecycleState, 'serving', 'new work started at a target that is out of service');
			const {state} = sidecar;
			schedule(2500, () => {
				if (sidecar.state === state) {
					sidecar.inbox.push(nowMs => ({
						type: 'work.ended', nowMs, attemptId, generatedTokens: 1,
					}));
				}
			});
		},
		'work.cancel'() {
			assert.fail('work was cancelled before the drain timeout');
		},
	};

	const applyEngineStep = ({engine, state}: SimulatedSidecar, order: OrderNumber, step: TargetStep, answer: (isDone: boolean) => void) => {
		assert.ok(order.epoch >= maxEpoch, 'a target was changed by an order whose sender had lost its authority');
		assert.ok(order.epoch > engine.lastOrder.epoch || (order.epoch === engine.lastOrder.epoch && order.sequence >= engine.lastOrder.sequence), 'an older order was executed after a newer one');
		assert.ok(engine.change === undefined || JSON.stringify(engine.change.step) === JSON.stringify(step), 'two different changes are in progress at one engine');
		assert.ok(step.kind !== 'changeRole' || state.admission.running.size === 0, 'a role was changed while work was running');
		counts.changes += 1;
		engine.lastOrder = order;
		const change = {step, isCancelled: false};
		engine.change = change;
		schedule(ENGINE_CHANGE_MS, () => {
			if (change.isCancelled) {
				return;
			}

			engine.change = undefined;
			if (step.kind === 'changeRole') {
				engine.role = step.role;
			} else {
				engine.models = [...new Set([...engine.models, step.modelId])];
			}

			answer(true);
		});
	};

	const runEntry = (entry: SimulatedEntry) => {
		for (let createEvent = entry.inbox.shift(); createEvent !== undefined; createEvent = entry.inbox.shift()) {
			entry.outbox.push(...reduceEntry(entry.state, createEvent(readClock(entry))));
			if (pauseIfRequested(entry)) {
				return;
			}

			runEffects(entry, entryEffects);
		}
	};

	const runSidecar = (sidecar: SimulatedSidecar) => {
		for (let createEvent = sidecar.inbox.shift(); createEvent !== undefined; createEvent = sidecar.inbox.shift()) {
			const phaseBefore = sidecar.state.orders.active?.phase;
			sidecar.outbox.push(...reduceSidecar(sidecar.state, createEvent(readClock(sidecar))));
			const {active} = sidecar.state.orders;
			if (phaseBefore === 'proving' && active?.phase === 'draining') {
				assert.ok(active.offer.order.epoch >= maxEpoch, 'a target was taken out of service by a process that had lost its authority');
			}

			if (pauseIfRequested(sidecar)) {
				return;
			}

			runEffects(sidecar, sidecarEffects);
		}
	};

	const pauseIfRequested = (process: {pauseBeforeEffect: string | undefined; isPaused: boolean; outbox: Array<{type: string}>}) => {
		const isPauseDue = process.outbox.some(({type}) => type === process.pauseBeforeEffect);
		if (isPauseDue) {
			process.pauseBeforeEffect = undefined;
			process.isPaused = true;
		}

		return isPauseDue;
	};

	const runEffects = <Effect extends {type: string}, Owner extends {outbox: Effect[]}>(owner: Owner, handlers: Handlers<Effect, Owner>) => {
		const effects = owner.outbox;
		owner.outbox = [];
		for (const effect of effects) {
			if (!('dutyName' in effect) || effect.dutyName === `fleet/${ZONE}`) {
				(handlers[effect.type as Effect['type']] as ((owner: Owner, effect: Effect) => void) | undefined)?.(owner, effect);
			}
		}
	};

	const sendReports = () => {
		const instances = [
			...entries.map(({name}): InstanceRecord => ({
				instanceId: name, kind: 'entry', availabilityZone: ZONE, region: 'r', address: name, state: 'live', serviceId: '', incarnation: 1,
			})),
			...sidecars.map(({name}): InstanceRecord => ({
				instanceId: name, kind: 'target', availabilityZone: ZONE, region: 'r', address: name, state: 'live', serviceId: 's', incarnation: 1,
			})),
		];
		for (const entry of entries) {
			if (!isStoreUnavailable(entry)) {
				entry.inbox.push(nowMs => ({type: 'instances.listed', nowMs, instances}));
			}

			for (const sidecar of sidecars.filter(({isPaused}) => !isPaused)) {
				const load = toLoadReport(sidecar.state.admission, readClock(sidecar));
				sendToEntry(sidecar, entry, nowMs => ({type: 'load.reported', nowMs, load}));
			}
		}

		for (const sidecar of sidecars) {
			const {role, models, change, isDown} = sidecar.engine;
			const report = {role, models: [...models], isReady: change?.step.kind !== 'changeRole'};
			sidecar.inbox.push(nowMs => isDown ? {type: 'target.silent', nowMs} : {type: 'target.reported', nowMs, ...report});
			counts.work += 1;
			const attemptId = `w${counts.work}`;
			sidecar.inbox.push(nowMs => ({
				type: 'work.received',
				nowMs,
				work: {
					requestId: attemptId, attemptId, customerId: 'c', priority: 'interactive', promptTokens: 10, prefillTokens: 10, maxTokens: 1, deadlineAtMs: nowMs + 60_000, fingerprint: attemptId,
				},
			}));
		}
	};

	const checkSingleHolder = () => {
		const holders = entries.flatMap(entry => findHeldDuty(entry.state.lease, `fleet/${ZONE}`, readClock(entry)) ?? []);
		assert.ok(holders.length <= 1, 'two processes hold one duty');
		maxEpoch = Math.max(maxEpoch, ...holders.map(({epoch}) => epoch));
	};

	return {
		environment, entries, sidecars, counts, fleet,
		findHolder: () => entries.find(entry => findHeldDuty(entry.state.lease, `fleet/${ZONE}`, readClock(entry)) !== undefined),
		restartEntry(index: number) {
			counts.restarts += 1;
			entries[index] = {...createEntry(index, `e${index}.${counts.restarts}`)};
		},
		restartSidecar(index: number) {
			counts.restarts += 1;
			sidecars[index] = createSidecar(index, `t${index}.${counts.restarts}`, sidecars[index]!.engine);
		},
		crashEngine(index: number) {
			const {engine, state, inbox} = sidecars[index]!;
			if (engine.change !== undefined) {
				engine.change.isCancelled = true;
				engine.change = undefined;
				const {active} = state.orders;
				inbox.push(nowMs => ({
					type: 'target.changed', nowMs, stepId: active?.stepId ?? '', isDone: false,
				}));
			}

			for (const attemptId of state.admission.running.keys()) {
				inbox.push(nowMs => ({
					type: 'work.ended', nowMs, attemptId, generatedTokens: 0,
				}));
			}

			engine.role = 'mixed';
			engine.models = ['m'];
			engine.isDown = true;
			schedule(1000, () => {
				engine.isDown = false;
			});
		},
		/** Delivers some earlier offers again. */
		sendOldOffers(remainder: number) {
			for (const [index, sendOffer] of offerSenders.slice(-100).entries()) {
				if (index % 9 === remainder) {
					sendOffer();
				}
			}
		},
		/** Writes the fleet record again, unchanged except for its nonce, as an operator's tool could do. */
		writeFleetAgain() {
			if (fleet.value !== undefined && environment.fault === 'none') {
				writeFleetRecord({...fleet.value, nonce: `operator.${fleet.version}`}, fleet.version);
			}
		},
		advanceTime(durationMs: number) {
			const endMs = environment.nowMs + durationMs;
			while (environment.nowMs < endMs) {
				environment.nowMs += STEP_MS;
				for (const action of scheduledActions.filter(({atMs}) => atMs <= environment.nowMs)) {
					scheduledActions.splice(scheduledActions.indexOf(action), 1);
					action.run();
				}

				if (environment.nowMs % REPORT_INTERVAL_MS === 0) {
					sendReports();
				}

				for (const entry of entries.filter(({isPaused}) => !isPaused)) {
					runEffects(entry, entryEffects);
					entry.inbox.push(nowMs => ({type: 'tick', nowMs}));
					runEntry(entry);
					checkSingleHolder();
				}

				for (const sidecar of sidecars.filter(({isPaused}) => !isPaused)) {
					runEffects(sidecar, sidecarEffects);
					sidecar.inbox.push(nowMs => ({type: 'tick', nowMs}));
					runSidecar(sidecar);
				}
			}
		},
		heal() {
			Object.assign(environment, {fault: 'none', isNetworkSlow: false});
			for (const process of [...entries, ...sidecars]) {
				Object.assign(process, {
					isPaused: false, pauseBeforeEffect: undefined, isStoreUnreachable: false, isOutboundLost: false, isInboundLost: false,
				});
			}
		},
	};
}
