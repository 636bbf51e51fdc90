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
const PROOF_LIMIT_MS = 2 * SECOND_MS;
/** Work that still runs after this is handed over: its entry resumes it at another target. */
export const DRAIN_LIMIT_MS = 20 * SECOND_MS;
/** An order that has not ended by then has failed; the holder decides anew. */
const ORDER_LIMIT_MS = 120 * SECOND_MS;
/** Changes that are tried for one order before it has failed. */
const ATTEMPT_LIMIT = 10;
/** States in which a target cannot begin to carry out an order. */
const BUSY_STATES: ReadonlySet<TargetState> = new Set(['starting', 'changingRole', 'gone']);
/** Time between tries to read the orders after a start. */
const READ_INTERVAL_MS = SECOND_MS;

/** Handlers by which a sidecar takes orders, one at a time and only under proven authority. */
export const orderHandlers: HandlerTable<SidecarState, SidecarEvent, SidecarEffect> = {
	'assignment.wasRead'({orders}, {epoch, assignment}) {
		orders.hasReadAssignment = true;
		raiseFloor(orders, {epoch, sequence: 0});
		raiseFloor(orders, assignment?.order ?? orders.floor);
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
			offer, phase: 'proving', phaseSinceMs: nowMs, acceptedAtMs: nowMs, nonce: '', askedAtMs: nowMs, stepId: '', attemptCount: 0,
		};
		return [reply, askAuthority(orders, orders.active, nowMs)];
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
		raiseFloor(state.orders, active.offer.order);
		return active.phase === 'proving' ? beginOrder(state, active, nowMs) : changeTarget(state, active, authorityUntilMs, nowMs);
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
		return active?.phase === 'verifying' && isReady ? verifyOrder(state, active, nowMs) : [];
	},

	tick(state, {nowMs}) {
		const {orders} = state;
		if (!orders.hasReadAssignment && nowMs >= orders.nextReadAtMs) {
			orders.nextReadAtMs = nowMs + READ_INTERVAL_MS;
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

	const {active, last} = orders;
	if (active === undefined && BUSY_STATES.has(admission.lifecycleState)) {
		// A change that an earlier process began may still be under way at the target.
		return 'notReady';
	}

	if (active !== undefined) {
		return compareOrders(active.offer.order, order) === 0 ? 'accepted' : 'busy';
	}

	if (last !== undefined && last.status !== 'active' && compareOrders(last.order, order) === 0) {
		return last.status;
	}

	return isStaleOrder(orders, order) ? 'stale' : 'accepted';
}

function raiseFloor(orders: OrderState, order: OrderNumber): void {
	if (compareOrders(order, orders.floor) > 0) {
		orders.floor = order;
	}
}

function setPhase(active: ActiveOrder, phase: OrderPhase, nowMs: number): void {
	active.phase = phase;
	active.phaseSinceMs = nowMs;
}

/** Asks for a proof whose term counts from now, before the question is sent. */
function askAuthority(orders: OrderState, active: ActiveOrder, nowMs: number): SidecarEffect {
	orders.callCount += 1;
	active.nonce = `${orders.processId}.${orders.callCount}`;
	active.askedAtMs = nowMs;
	return {
		type: 'authority.ask', nonce: active.nonce, holderAddress: active.offer.holderAddress, dutyName: active.offer.dutyName,
	};
}

/** The order is proven: nothing to do, drain first, or change at once. */
function beginOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	if (active.offer.desired.isLeaving) {
		admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'leave'});
		setPhase(active, 'draining', nowMs);
		return [...refuseWaiting(state), ...advanceOrder(state, active, nowMs)];
	}

	const step = findNextStep(active.offer, admission.role, admission.models);
	if (step === undefined) {
		return completeOrder(state, active, 'applied');
	}

	if (step.kind === 'loadModel') {
		setPhase(active, 'confirming', nowMs);
		return [askAuthority(orders, active, nowMs)];
	}

	return drainTarget(state, active, nowMs);
}

function drainTarget(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	state.admission.lifecycleState = advanceTarget(state.admission.lifecycleState, {type: 'drain'});
	setPhase(active, 'draining', nowMs);
	return [...refuseWaiting(state), ...advanceOrder(state, active, nowMs)];
}

function advanceOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	const isProofLate = active.nonce !== '' && nowMs - active.askedAtMs > PROOF_LIMIT_MS;
	if (isProofLate) {
		return dropOrder(state, active, 'no proof of authority came');
	}

	if (nowMs - active.acceptedAtMs > ORDER_LIMIT_MS && active.phase !== 'draining') {
		return completeOrder(state, active, 'failed');
	}

	if (active.phase !== 'draining') {
		return [];
	}

	if (admission.running.size > 0) {
		return nowMs - active.phaseSinceMs > DRAIN_LIMIT_MS ? handOverWork(state) : [];
	}

	if (active.offer.desired.isLeaving) {
		return completeOrder(state, active, 'applied');
	}

	setPhase(active, 'confirming', nowMs);
	return [askAuthority(orders, active, nowMs)];
}

function changeTarget(state: SidecarState, active: ActiveOrder, authorityUntilMs: number, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	const step = findNextStep(active.offer, admission.role, admission.models);
	if (step === undefined) {
		return completeOrder(state, active, 'applied');
	}

	// The target may have crashed since and come back in another role.
	if (step.kind === 'changeRole' && admission.lifecycleState === 'serving') {
		return drainTarget(state, active, nowMs);
	}

	if (step.kind === 'changeRole') {
		admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'change'});
	}

	orders.callCount += 1;
	orders.last = {order: active.offer.order, status: 'active'};
	active.stepId = `${orders.processId}.${orders.callCount}`;
	active.attemptCount += 1;
	setPhase(active, 'changing', nowMs);
	return [{
		type: 'target.change', stepId: active.stepId, order: active.offer.order, step, authorityUntilMs,
	}];
}

/** Goes by what the target says that it is, since the reply to a change may be lost or the target have crashed in the middle of it. */
function verifyOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	if (findNextStep(active.offer, admission.role, admission.models) === undefined) {
		return completeOrder(state, active, 'applied');
	}

	if (active.attemptCount >= ATTEMPT_LIMIT) {
		return completeOrder(state, active, 'failed');
	}

	setPhase(active, 'confirming', nowMs);
	return [askAuthority(orders, active, nowMs)];
}

function completeOrder(state: SidecarState, active: ActiveOrder, status: 'applied' | 'failed'): readonly SidecarEffect[] {
	const {admission, orders} = state;
	orders.active = undefined;
	orders.last = {order: active.offer.order, status};
	admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'return'});
	return [recordOrder(state, active, `order.${status}`, '')];
}

/** Drops an order without proof. What was begun under an earlier proof stays marked as begun. */
function dropOrder(state: SidecarState, active: ActiveOrder, reason: string): readonly SidecarEffect[] {
	const {admission, orders} = state;
	orders.active = undefined;
	if (orders.last?.status === 'active') {
		orders.last.status = 'failed';
	}

	admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'return'});
	return [recordOrder(state, active, 'order.dropped', reason)];
}

/** Waiting work is refused, not run, at once: its entry sends it elsewhere. */
function refuseWaiting({admission}: SidecarState): readonly SidecarEffect[] {
	const waiting = [...admission.waiting];
	admission.waiting = [];
	return waiting.map(work => ({type: 'work.refuse', attemptId: work.attemptId, failure: createFailure(ERROR_CODES.leaving)}));
}

/** Ends streams of an engine so that their entries resume them elsewhere. Calls of plain services may not be repeated, and run on to their own deadline. */
function handOverWork({admission}: SidecarState): readonly SidecarEffect[] {
	return admission.capacity.kvBlocks === 0
		? []
		: [...admission.running.keys()].map(attemptId => ({type: 'work.cancel', attemptId}));
}

function recordOrder({instanceId}: SidecarState, {offer}: ActiveOrder, name: string, reason: string): SidecarEffect {
	return {
		type: 'decision.record', name, subject: instanceId, detail: {...offer.order, ...offer.desired, reason},
	};
}
