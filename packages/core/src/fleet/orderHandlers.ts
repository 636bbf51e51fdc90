import {
	compareOrders, createFailure, ERROR_CODES, type OrderNumber, type OrderReply, SECOND_MS, type TargetState,
} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type SidecarEffect} from '../reducer/sidecarEffects.js';
import {type SidecarEvent} from '../reducer/sidecarEvents.js';
import {type SidecarState} from '../reducer/sidecarState.js';
import {
	type ActiveOrder, computeAuthorityEnd, findNextStep, isStaleOrder, type OrderPhase, type OrderState,
} from './orderState.js';
import {advanceTarget} from './targetMachine.js';

/** Longest wait for a proof; the holder offers the order again. */
const PROOF_TIMEOUT_MS = 2 * SECOND_MS;
/** Work that still runs after this is handed over: its entry resumes it at another target. */
export const DRAIN_TIMEOUT_MS = 20 * SECOND_MS;
/** An order that has not ended by then has failed; the holder decides anew. */
const ORDER_TIMEOUT_MS = 120 * SECOND_MS;
/** Changes that are tried for one order before it has failed. */
const MAX_STEPS_PER_ORDER = 10;
/** States in which a target cannot begin to carry out an order. */
const BUSY_STATES: ReadonlySet<TargetState> = new Set(['starting', 'changingRole', 'gone']);
/** Time between tries to read the orders after a start. */
const ASSIGNMENT_READ_INTERVAL_MS = SECOND_MS;

/** Handlers by which a sidecar takes orders, one at a time and only under proven authority. */
export const orderHandlers: HandlerTable<SidecarState, SidecarEvent, SidecarEffect> = {
	'assignment.wasRead'({orders}, {epoch, assignment}) {
		orders.hasReadAssignment = true;
		advanceMinOrder(orders, {epoch, sequence: 0});
		advanceMinOrder(orders, assignment?.order ?? orders.minOrder);
		return [];
	},

	'order.offered'(state, {offerId, offer, nowMs}) {
		const {orders} = state;
		const status = offer.targetId === state.instanceId ? findOfferStatus(state, offer.order) : 'stale';
		const reply: SidecarEffect = {type: 'order.reply', offerId, reply: {status}};
		if (status !== 'accepted' || orders.active !== undefined) {
			return [reply];
		}

		orders.active = {
			offer, phase: 'proving', phaseSinceMs: nowMs, acceptedAtMs: nowMs, nonce: '', proofRequestedAtMs: nowMs, stepId: '', stepCount: 0,
		};
		return [reply, requestAuthority(orders, orders.active, nowMs)];
	},

	'authority.answered'(state, {nonce, proof, nowMs}) {
		const {active} = state.orders;
		if (active?.nonce !== nonce) {
			return [];
		}

		const authorityUntilMs = computeAuthorityEnd(active, proof);
		if (nowMs >= authorityUntilMs) {
			return dropOrder(state, active, 'the holder did not prove its authority');
		}

		active.nonce = '';
		advanceMinOrder(state.orders, active.offer.order);
		return active.phase === 'proving' ? beginOrder(state, active, nowMs) : beginNextStep(state, active, authorityUntilMs, nowMs);
	},

	'target.changed'({orders}, {stepId, nowMs}) {
		const {active} = orders;
		if (active?.phase === 'changing' && active.stepId === stepId) {
			setPhase(active, 'verifying', nowMs);
		}

		return [];
	},

	'target.reported'(state, {isReady, nowMs}) {
		const {active} = state.orders;
		return active?.phase === 'verifying' && isReady ? checkOrder(state, active, nowMs) : [];
	},

	tick(state, {nowMs}) {
		const {orders} = state;
		if (!orders.hasReadAssignment && nowMs >= orders.nextReadAtMs) {
			orders.nextReadAtMs = nowMs + ASSIGNMENT_READ_INTERVAL_MS;
			return [{type: 'assignment.read'}];
		}

		return orders.active === undefined ? [] : advanceOrder(state, orders.active, nowMs);
	},

	'work.ended'(state, {nowMs}) {
		const {active} = state.orders;
		return active?.phase === 'draining' ? advanceOrder(state, active, nowMs) : [];
	},
};

/** What the sender of an order is told; `accepted` also where the order is under way already. */
function findOfferStatus({orders, admission, isStopping}: SidecarState, order: OrderNumber): OrderReply['status'] {
	if (!orders.hasReadAssignment || isStopping) {
		return 'notReady';
	}

	const {active, lastStarted} = orders;
	if (active === undefined && BUSY_STATES.has(admission.lifeState)) {
		// A change that an earlier process began may still be under way at the target.
		return 'notReady';
	}

	if (active !== undefined) {
		return compareOrders(active.offer.order, order) === 0 ? 'accepted' : 'busy';
	}

	if (lastStarted !== undefined && lastStarted.status !== 'active' && compareOrders(lastStarted.order, order) === 0) {
		return lastStarted.status;
	}

	return isStaleOrder(orders, order) ? 'stale' : 'accepted';
}

function advanceMinOrder(orders: OrderState, order: OrderNumber): void {
	if (compareOrders(order, orders.minOrder) > 0) {
		orders.minOrder = order;
	}
}

function setPhase(active: ActiveOrder, phase: OrderPhase, nowMs: number): void {
	active.phase = phase;
	active.phaseSinceMs = nowMs;
}

/** Asks for a proof whose term counts from now, before the question is sent. */
function requestAuthority(orders: OrderState, active: ActiveOrder, nowMs: number): SidecarEffect {
	orders.callCount += 1;
	active.nonce = `${orders.processId}.${orders.callCount}`;
	active.proofRequestedAtMs = nowMs;
	return {
		type: 'authority.ask', nonce: active.nonce, holderAddress: active.offer.holderAddress, dutyName: active.offer.dutyName,
	};
}

/** The order is proven: nothing to do, drain first, or change at once. */
function beginOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	if (active.offer.desired.isLeaving) {
		admission.lifeState = advanceTarget(admission.lifeState, {type: 'leave'});
		setPhase(active, 'draining', nowMs);
		return [...refuseWaitingWork(state), ...advanceOrder(state, active, nowMs)];
	}

	const step = findNextStep(active.offer, admission.role, admission.models);
	if (step === undefined) {
		return completeOrder(state, active, 'applied');
	}

	if (step.kind === 'loadModel') {
		setPhase(active, 'confirming', nowMs);
		return [requestAuthority(orders, active, nowMs)];
	}

	return beginDrain(state, active, nowMs);
}

function beginDrain(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	state.admission.lifeState = advanceTarget(state.admission.lifeState, {type: 'drain'});
	setPhase(active, 'draining', nowMs);
	return [...refuseWaitingWork(state), ...advanceOrder(state, active, nowMs)];
}

function advanceOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	const isProofOverdue = active.nonce !== '' && nowMs - active.proofRequestedAtMs > PROOF_TIMEOUT_MS;
	if (isProofOverdue) {
		return dropOrder(state, active, 'no proof of authority came');
	}

	if (nowMs - active.acceptedAtMs > ORDER_TIMEOUT_MS && active.phase !== 'draining') {
		return completeOrder(state, active, 'failed');
	}

	if (active.phase !== 'draining') {
		return [];
	}

	if (admission.running.size > 0) {
		return nowMs - active.phaseSinceMs > DRAIN_TIMEOUT_MS ? cancelRunningWork(state) : [];
	}

	if (active.offer.desired.isLeaving) {
		return completeOrder(state, active, 'applied');
	}

	setPhase(active, 'confirming', nowMs);
	return [requestAuthority(orders, active, nowMs)];
}

function beginNextStep(state: SidecarState, active: ActiveOrder, authorityUntilMs: number, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	const step = findNextStep(active.offer, admission.role, admission.models);
	if (step === undefined) {
		return completeOrder(state, active, 'applied');
	}

	// The target may have crashed since and come back in another role.
	if (step.kind === 'changeRole' && admission.lifeState === 'serving') {
		return beginDrain(state, active, nowMs);
	}

	if (step.kind === 'changeRole') {
		admission.lifeState = advanceTarget(admission.lifeState, {type: 'change'});
	}

	orders.callCount += 1;
	orders.lastStarted = {order: active.offer.order, status: 'active'};
	active.stepId = `${orders.processId}.${orders.callCount}`;
	active.stepCount += 1;
	setPhase(active, 'changing', nowMs);
	return [{
		type: 'target.change', stepId: active.stepId, order: active.offer.order, step, authorityUntilMs,
	}];
}

/** Goes by what the target says that it is, since the reply to a change may be lost or the target have crashed in the middle of it. */
function checkOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	if (findNextStep(active.offer, admission.role, admission.models) === undefined) {
		return completeOrder(state, active, 'applied');
	}

	if (active.stepCount >= MAX_STEPS_PER_ORDER) {
		return completeOrder(state, active, 'failed');
	}

	setPhase(active, 'confirming', nowMs);
	return [requestAuthority(orders, active, nowMs)];
}

function completeOrder(state: SidecarState, active: ActiveOrder, status: 'applied' | 'failed'): readonly SidecarEffect[] {
	const {admission, orders} = state;
	orders.active = undefined;
	orders.lastStarted = {order: active.offer.order, status};
	admission.lifeState = advanceTarget(admission.lifeState, {type: 'return'});
	return [recordOrder(state, active, `order.${status}`, '')];
}

/** Drops an order without proof. What was begun under an earlier proof stays marked as begun. */
function dropOrder(state: SidecarState, active: ActiveOrder, reason: string): readonly SidecarEffect[] {
	const {admission, orders} = state;
	orders.active = undefined;
	if (orders.lastStarted?.status === 'active') {
		orders.lastStarted.status = 'failed';
	}

	admission.lifeState = advanceTarget(admission.lifeState, {type: 'return'});
	return [recordOrder(state, active, 'order.dropped', reason)];
}

/** Waiting work is refused, not run, at once: its entry sends it elsewhere. */
function refuseWaitingWork({admission}: SidecarState): readonly SidecarEffect[] {
	const waiting = [...admission.waiting];
	admission.waiting = [];
	return waiting.map(work => ({type: 'work.refuse', attemptId: work.attemptId, failure: createFailure(ERROR_CODES.leaving)}));
}

/** Ends streams of an engine so that their entries resume them elsewhere. Calls of plain services may not be repeated, and run on to their own deadline. */
function cancelRunningWork({admission}: SidecarState): readonly SidecarEffect[] {
	return admission.capacity.pieces === 0
		? []
		: [...admission.running.keys()].map(attemptId => ({type: 'work.cancel', attemptId}));
}

function recordOrder({instanceId}: SidecarState, {offer}: ActiveOrder, name: string, reason: string): SidecarEffect {
	return {
		type: 'decision.record', name, subject: instanceId, detail: {...offer.order, ...offer.desired, reason},
	};
}
