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
import {mayCallPlatform, mayChangeTarget} from '../mayCarryOut.js';
import {type TargetStep} from '../orderMessages.js';

/** Time that an engine takes for a change. */
const CHANGE_MS = 1500;
/** Time between reports, lists and loads. */
const REPORT_INTERVAL_MS = 300;
const STEP_MS = 100;
const ZONE = 'a';

/** A process: its state, its clock, what waits for it, and effects not yet carried out. */
type Process<State, Event, Effect> = {
	readonly name: string;
	state: State;
	inbox: Array<(nowMs: number) => Event>;
	outbox: Effect[];
	isPaused: boolean;
	/** Type of effect before which the process is paused, after it was decided. */
	pausingBefore: string | undefined;
	isCutFromStore: boolean;
	/** Messages that it sends to peers are lost. */
	isSendingLost: boolean;
	/** Messages that peers send to it are lost. */
	isReceivingLost: boolean;
	readonly offsetMs: number;
	readonly rate: number;
};
type Entry = Process<EntryState, EntryEvent, EntryEffect>;
type Sidecar = Process<SidecarState, SidecarEvent, SidecarEffect> & {readonly engine: Engine};
type Engine = {
	role: TargetRole; models: string[]; isDown: boolean; change: {step: TargetStep; isDropped: boolean} | undefined; last: OrderNumber; checksFencing: boolean;
};
type Stored<Value> = {version: number; value: Value | undefined};

/** Entries and sidecars of the real reducers around fakes of store, platform and engines, and a global record of what must hold. */
export type AuthorityWorld = ReturnType<typeof createAuthorityWorld>;

/** Changes something every few seconds of its holder's clock, so that orders and calls are always under way. */
const planRestlessly: PlanZone = ({nowMs, targets}) => {
	const turn = Math.floor(nowMs / 2000);
	const target = targets[turn % Math.max(1, targets.length)];
	if (target === undefined || turn % 2 === 1) {
		return {step: {kind: 'startTarget', serviceId: 's'}, reason: 'test'};
	}

	return turn % 4 === 2
		? {step: {kind: 'loadModel', targetId: target.targetId, modelId: `m${turn % 5}`}, reason: 'test'}
		: {step: {kind: 'changeRole', targetId: target.targetId, role: target.role === 'mixed' ? 'prefill' : 'mixed'}, reason: 'test'};
};

/**
 * Creates three entries and two targets of one availability zone; one target
 * checks fencing numbers and the other ignores them.
 *
 * @returns the world
 */
export function createAuthorityWorld() {
	const world = {nowMs: 0, fault: 'none', isNetworkSlow: false};
	const lease: Stored<LeaseRecord> = {version: 0, value: undefined};
	const fleet: Stored<FleetRecord> = {version: 0, value: undefined};
	const written = new Map<string, string>();
	const scheduled: Array<{atMs: number; run: () => void}> = [];
	const sentOffers: Array<() => void> = [];
	const counts = {
		changes: 0, platformCalls: 0, restarts: 0, work: 0,
	};
	const platformKeys = new Map<string, string>();
	let highestEpoch = 0;

	const after = (delayMs: number, run: () => void) => {
		scheduled.push({atMs: world.nowMs + delayMs, run});
	};

	const readClock = ({offsetMs, rate}: {offsetMs: number; rate: number}) => offsetMs + (world.nowMs * rate);
	const createProcess = (name: string, index: number) => ({
		name, inbox: [], outbox: [], isPaused: false, pausingBefore: undefined, isCutFromStore: false, isSendingLost: false, isReceivingLost: false,
		offsetMs: index * 1_000_000, rate: 1 + (((index % 3) - 1) * 0.03),
	});
	const createEntry = (index: number, processId: string): Entry => ({
		...createProcess(`e${index}`, index),
		state: createEntryState({
			instanceId: `e${index}`, availabilityZone: ZONE, region: 'r', processId, planZone: planRestlessly,
		}),
	});
	const createSidecar = (index: number, processId: string, engine: Engine): Sidecar => ({
		...createProcess(`t${index}`, index + 1),
		engine,
		state: createSidecarState({instanceId: `t${index}`, processId, capacity: {concurrency: 4, kvBlocks: 64, queueLimit: 4}}),
	});
	const entries = [0, 1, 2].map(index => createEntry(index, `e${index}.0`));
	const sidecars = [0, 1].map(index => createSidecar(index, `t${index}.0`, {
		role: 'mixed', models: ['m'], isDown: false, change: undefined, last: {epoch: 0, sequence: 0}, checksFencing: index === 0,
	}));

	/** Hands a message to a peer, unless a partition is between them. */
	const sendAcross = (from: {isSendingLost: boolean}, to: {isReceivingLost: boolean}, run: () => void) => {
		if (!from.isSendingLost && !to.isReceivingLost) {
			after(world.isNetworkSlow ? 900 : 0, run);
		}
	};

	const sendToEntry = (from: {isSendingLost: boolean}, to: Entry, create: (nowMs: number) => EntryEvent) => {
		sendAcross(from, to, () => {
			to.inbox.push(create);
		});
	};

	const sendToSidecar = (from: {isSendingLost: boolean}, to: Sidecar, create: (nowMs: number) => SidecarEvent) => {
		sendAcross(from, to, () => {
			to.inbox.push(create);
		});
	};

	const writeStored = <Value>(stored: Stored<Value>, value: Value, expectedVersion: number) => {
		if (stored.version !== expectedVersion) {
			return false;
		}

		stored.version += 1;
		stored.value = value;
		return true;
	};

	type WriteResult = {kind: 'written'; version: number} | {kind: 'conflict'} | {kind: 'unknown'};
	/** Writes with the fault of the moment; `commit` tells whether it took effect. */
	const writeFaulty = (entry: Entry, stored: Stored<unknown>, commit: () => boolean): WriteResult => {
		if (world.fault === 'down' || entry.isCutFromStore) {
			return {kind: 'unknown'};
		}

		if (world.fault === 'slow') {
			after(1200, () => {
				commit();
			});
			return {kind: 'unknown'};
		}

		const isWritten = commit();
		if (world.fault === 'replyLost') {
			return {kind: 'unknown'};
		}

		return isWritten ? {kind: 'written', version: stored.version} : {kind: 'conflict'};
	};

	const isStoreSilent = (process: {isCutFromStore: boolean}) => world.fault === 'down' || process.isCutFromStore;

	const commitFleet = (record: FleetRecord, expectedVersion: number) => {
		const before = fleet.value?.epoch ?? 0;
		const isWritten = writeStored(fleet, record, expectedVersion);
		if (isWritten) {
			assert.ok(record.epoch >= before, 'a predecessor\'s late write reverted the orders of a zone');
			for (const {targetId, order, desired} of record.assignments) {
				written.set(`${targetId} ${order.epoch}.${order.sequence}`, JSON.stringify(desired));
			}
		}

		return isWritten;
	};

	type Handlers<Effect extends {type: string}, Owner> = {[Type in Effect['type']]?: (owner: Owner, effect: Extract<Effect, {type: Type}>) => void};
	const entryEffects: Handlers<EntryEffect, Entry> = {
		'lease.read'(entry, {dutyName, callId}) {
			const result = isStoreSilent(entry) ? {kind: 'failed'} as const : {kind: 'read', version: lease.version, record: lease.value} as const;
			entry.inbox.push(nowMs => ({
				type: 'lease.readEnded', nowMs, dutyName, callId, result,
			}));
		},
		'lease.write'(entry, {dutyName, callId, record, expectedVersion}) {
			const result = writeFaulty(entry, lease, () => writeStored(lease, record, expectedVersion));
			entry.inbox.push(nowMs => ({
				type: 'lease.writeEnded', nowMs, dutyName, callId, result,
			}));
		},
		'fleet.read'(entry, {callId}) {
			const result = isStoreSilent(entry) ? {kind: 'failed'} as const : {kind: 'read', version: fleet.version, record: fleet.value} as const;
			entry.inbox.push(nowMs => ({
				type: 'fleet.readEnded', nowMs, callId, result,
			}));
		},
		'fleet.write'(entry, {callId, record, expectedVersion}) {
			const result = writeFaulty(entry, fleet, () => commitFleet(record, expectedVersion));
			entry.inbox.push(nowMs => ({
				type: 'fleet.writeEnded', nowMs, callId, result,
			}));
		},
		'order.offer'(entry, {targetId, dutyName, order, desired}) {
			assert.equal(written.get(`${targetId} ${order.epoch}.${order.sequence}`), JSON.stringify(desired), 'an order was sent that was never written');
			const offer = {
				targetId, dutyName, holderAddress: entry.name, order, desired,
			};
			const offerId = `${entry.name} ${order.epoch}.${order.sequence}`;
			const deliver = () => {
				sendToSidecar(entry, sidecars.find(({name}) => name === targetId)!, nowMs => ({
					type: 'order.offered', nowMs, offerId, offer,
				}));
			};

			sentOffers.push(deliver);
			deliver();
		},
		'platform.call'(entry, effect) {
			if (!mayCallPlatform(entry.state.lease, effect, readClock(entry))) {
				return;
			}

			const {intent, epoch} = effect;
			after(world.isNetworkSlow ? 1900 : 0, () => {
				assert.ok(epoch >= highestEpoch, 'the platform was called by a process that had lost its authority');
				counts.platformCalls += 1;
				const content = JSON.stringify([intent.action, intent.serviceId, intent.targetId]);
				assert.equal(platformKeys.get(intent.key) ?? content, content, 'one idempotency key for two calls');
				platformKeys.set(intent.key, content);
				if (world.fault !== 'replyLost') {
					sendToEntry({isSendingLost: false}, entry, nowMs => ({
						type: 'platform.answered', nowMs, key: intent.key, isTaken: true,
					}));
				}
			});
		},
	};

	const sidecarEffects: Handlers<SidecarEffect, Sidecar> = {
		'order.reply'(sidecar, {offerId, reply}) {
			const [entryName, number] = offerId.split(' ') as [string, string];
			const [epoch, sequence] = number.split('.').map(Number) as [number, number];
			const entry = entries.find(({name}) => name === entryName)!;
			sendToEntry(sidecar, entry, nowMs => ({
				type: 'offer.answered', nowMs, targetId: sidecar.name, order: {epoch, sequence}, status: reply.status,
			}));
		},
		'authority.ask'(sidecar, {nonce, holderAddress, dutyName}) {
			const entry = entries.find(({name}) => name === holderAddress)!;
			// The proof is made when the holder next runs, by its clock then.
			sendToEntry(sidecar, entry, nowMs => {
				const held = findHeldDuty(entry.state.lease, dutyName, nowMs);
				sendToSidecar(entry, sidecar, at => ({
					type: 'authority.answered', nowMs: at, nonce, proof: held === undefined ? undefined : {nonce, ...held},
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

			changeEngine(sidecar, effect.order, effect.step, answer);
		},
		'assignment.read'(sidecar) {
			if (!isStoreSilent(sidecar)) {
				const assignment = fleet.value?.assignments.find(({targetId}) => targetId === sidecar.name);
				sidecar.inbox.push(nowMs => ({
					type: 'assignment.wasRead', nowMs, epoch: fleet.value?.epoch ?? 0, assignment,
				}));
			}
		},
		'work.start'(sidecar, {attemptId}) {
			assert.equal(sidecar.state.admission.lifecycleState, 'serving', 'a target that is out of service was given new work');
			const {state} = sidecar;
			after(2500, () => {
				if (sidecar.state === state) {
					sidecar.inbox.push(nowMs => ({
						type: 'work.ended', nowMs, attemptId, generatedTokens: 1,
					}));
				}
			});
		},
		'work.cancel'() {
			assert.fail('work was handed over before the drain limit');
		},
	};

	const changeEngine = ({engine, state}: Sidecar, order: OrderNumber, step: TargetStep, answer: (isDone: boolean) => void) => {
		assert.ok(order.epoch >= highestEpoch, 'a target was changed by an order whose sender had lost its authority');
		assert.ok(order.epoch > engine.last.epoch || (order.epoch === engine.last.epoch && order.sequence >= engine.last.sequence), 'an older order came after a newer one');
		assert.ok(engine.change === undefined || JSON.stringify(engine.change.step) === JSON.stringify(step), 'conflicting orders at one engine');
		assert.ok(step.kind !== 'changeRole' || state.admission.running.size === 0, 'a role change cut running work');
		counts.changes += 1;
		engine.last = order;
		const change = {step, isDropped: false};
		engine.change = change;
		after(CHANGE_MS, () => {
			if (change.isDropped) {
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

	const runEntry = (entry: Entry) => {
		for (let create = entry.inbox.shift(); create !== undefined; create = entry.inbox.shift()) {
			entry.outbox.push(...reduceEntry(entry.state, create(readClock(entry))));
			if (pauseBeforeEffects(entry)) {
				return;
			}

			flush(entry, entryEffects);
		}
	};

	const runSidecar = (sidecar: Sidecar) => {
		for (let create = sidecar.inbox.shift(); create !== undefined; create = sidecar.inbox.shift()) {
			const phaseBefore = sidecar.state.orders.active?.phase;
			sidecar.outbox.push(...reduceSidecar(sidecar.state, create(readClock(sidecar))));
			const {active} = sidecar.state.orders;
			if (phaseBefore === 'proving' && active?.phase === 'draining') {
				assert.ok(active.offer.order.epoch >= highestEpoch, 'a target was taken out of service by a process that had lost its authority');
			}

			if (pauseBeforeEffects(sidecar)) {
				return;
			}

			flush(sidecar, sidecarEffects);
		}
	};

	const pauseBeforeEffects = (process: {pausingBefore: string | undefined; isPaused: boolean; outbox: Array<{type: string}>}) => {
		const isCaught = process.outbox.some(({type}) => type === process.pausingBefore);
		if (isCaught) {
			process.pausingBefore = undefined;
			process.isPaused = true;
		}

		return isCaught;
	};

	const flush = <Effect extends {type: string}, Owner extends {outbox: Effect[]}>(owner: Owner, handlers: Handlers<Effect, Owner>) => {
		const effects = owner.outbox;
		owner.outbox = [];
		for (const effect of effects) {
			if (!('dutyName' in effect) || effect.dutyName === `fleet/${ZONE}`) {
				(handlers[effect.type as Effect['type']] as ((owner: Owner, effect: Effect) => void) | undefined)?.(owner, effect);
			}
		}
	};

	const reportAll = () => {
		const instances = [
			...entries.map(({name}): InstanceRecord => ({
				instanceId: name, kind: 'entry', availabilityZone: ZONE, region: 'r', address: name, state: 'live', serviceId: '', incarnation: 1,
			})),
			...sidecars.map(({name}): InstanceRecord => ({
				instanceId: name, kind: 'target', availabilityZone: ZONE, region: 'r', address: name, state: 'live', serviceId: 's', incarnation: 1,
			})),
		];
		for (const entry of entries) {
			if (!isStoreSilent(entry)) {
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

	const checkHolders = () => {
		const holders = entries.flatMap(entry => findHeldDuty(entry.state.lease, `fleet/${ZONE}`, readClock(entry)) ?? []);
		assert.ok(holders.length <= 1, 'two processes hold one duty');
		highestEpoch = Math.max(highestEpoch, ...holders.map(({epoch}) => epoch));
	};

	return {
		world, entries, sidecars, counts, fleet,
		readHolder: () => entries.find(entry => findHeldDuty(entry.state.lease, `fleet/${ZONE}`, readClock(entry)) !== undefined),
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
				engine.change.isDropped = true;
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
			after(1000, () => {
				engine.isDown = false;
			});
		},
		/** Old offers come once more, or late. */
		replayOffers(share: number) {
			for (const [index, deliver] of sentOffers.slice(-100).entries()) {
				if (index % 9 === share) {
					deliver();
				}
			}
		},
		/** An operator's tool writes the zone's orders anew, unchanged. */
		editFleet() {
			if (fleet.value !== undefined && world.fault === 'none') {
				commitFleet({...fleet.value, nonce: `operator.${fleet.version}`}, fleet.version);
			}
		},
		pass(durationMs: number) {
			const endMs = world.nowMs + durationMs;
			while (world.nowMs < endMs) {
				world.nowMs += STEP_MS;
				for (const item of scheduled.filter(({atMs}) => atMs <= world.nowMs)) {
					scheduled.splice(scheduled.indexOf(item), 1);
					item.run();
				}

				if (world.nowMs % REPORT_INTERVAL_MS === 0) {
					reportAll();
				}

				for (const entry of entries.filter(({isPaused}) => !isPaused)) {
					flush(entry, entryEffects);
					entry.inbox.push(nowMs => ({type: 'tick', nowMs}));
					runEntry(entry);
					checkHolders();
				}

				for (const sidecar of sidecars.filter(({isPaused}) => !isPaused)) {
					flush(sidecar, sidecarEffects);
					sidecar.inbox.push(nowMs => ({type: 'tick', nowMs}));
					runSidecar(sidecar);
				}
			}
		},
		heal() {
			Object.assign(world, {fault: 'none', isNetworkSlow: false});
			for (const process of [...entries, ...sidecars]) {
				Object.assign(process, {
					isPaused: false, pausingBefore: undefined, isCutFromStore: false, isSendingLost: false, isReceivingLost: false,
				});
			}
		},
	};
}
