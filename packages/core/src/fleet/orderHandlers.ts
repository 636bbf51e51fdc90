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

/** Maximum wait for a proof of authority. The order is then dropped, and the holder sends it again. */
const PROOF_TIMEOUT_MS = 2 * SECOND_MS;
/** Time after which work that still runs on a draining target is cancelled. Its entry resumes it on another target. */
export const DRAIN_TIMEOUT_MS = 20 * SECOND_MS;
/** Time after which an order that has not ended counts as failed. The holder then plans again. */
const ORDER_TIMEOUT_MS = 120 * SECOND_MS;
/** Number of changes after which an order that is still not fulfilled counts as failed. */
const MAX_STEPS_PER_ORDER = 10;
/** States in which a target cannot start an order. */
const BUSY_STATES: ReadonlySet<TargetState> = new Set(['starting', 'changingRole', 'gone']);
/** Interval between reads of the assignment after a start, until one succeeds. */
const ASSIGNMENT_READ_INTERVAL_MS = SECOND_MS;

/** Executes orders at a sidecar, one at a time and only under proven authority. */
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

/** Returns the reply to an offered order. An order that is already in progress is `accepted` again. */
function findOfferStatus({orders, admission, isStopping}: SidecarState, order: OrderNumber): OrderReply['status'] {
	if (!orders.hasReadAssignment || isStopping) {
		return 'notReady';
	}

	const {active, lastExecuted} = orders;
	if (active === undefined && BUSY_STATES.has(admission.lifecycleState)) {
		// A change that an earlier sidecar process started may still be in progress at the target.
		return 'notReady';
	}

	if (active !== undefined) {
		return compareOrders(active.offer.order, order) === 0 ? 'accepted' : 'busy';
	}

	if (lastExecuted !== undefined && lastExecuted.status !== 'active' && compareOrders(lastExecuted.order, order) === 0) {
		return lastExecuted.status;
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

/** Requests a proof of authority. The term of the proof counts from now, before the request is sent. */
function requestAuthority(orders: OrderState, active: ActiveOrder, nowMs: number): SidecarEffect {
	orders.callCount += 1;
	active.nonce = `${orders.processId}.${orders.callCount}`;
	active.proofRequestedAtMs = nowMs;
	return {
		type: 'authority.ask', nonce: active.nonce, holderAddress: active.offer.holderAddress, dutyName: active.offer.dutyName,
	};
}

/** Starts an order with proven authority. It completes at once if nothing differs, drains the target, or loads a model without a drain. */
function beginOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	if (active.offer.desired.isLeaving) {
		admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'leave'});
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
	state.admission.lifecycleState = advanceTarget(state.admission.lifecycleState, {type: 'drain'});
	setPhase(active, 'draining', nowMs);
	return [...refuseWaitingWork(state), ...advanceOrder(state, active, nowMs)];
}

function advanceOrder(state: SidecarState, active: ActiveOrder, nowMs: number): readonly SidecarEffect[] {
	const {admission, orders} = state;
	const isProofOverdue = active.nonce !== '' && nowMs - active.proofRequestedAtMs > PROOF_TIMEOUT_MS;
	if (isProofOverdue) {
		return dropOrder(state, active, 'no proof of authority arrived in time');
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

	// The target may have crashed and restarted in another role since the last step.
	if (step.kind === 'changeRole' && admission.lifecycleState === 'serving') {
		return beginDrain(state, active, nowMs);
	}

	if (step.kind === 'changeRole') {
		admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'change'});
	}

	orders.callCount += 1;
	orders.lastExecuted = {order: active.offer.order, status: 'active'};
	active.stepId = `${orders.processId}.${orders.callCount}`;
	active.stepCount += 1;
	setPhase(active, 'changing', nowMs);
	return [{
		type: 'target.change', stepId: active.stepId, order: active.offer.order, step, authorityUntilMs,
	}];
}

/** Compares the reported state of the target with the order. The reply to a change is not used for this: it may be lost, or the target may crash during the change. */
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
	orders.lastExecuted = {order: active.offer.order, status};
	admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'return'});
	return [recordOrder(state, active, `order.${status}`, '')];
}

/** Drops an order without a valid proof. If it was already started under an earlier proof, it is recorded as failed. */
function dropOrder(state: SidecarState, active: ActiveOrder, reason: string): readonly SidecarEffect[] {
	const {admission, orders} = state;
	orders.active = undefined;
	if (orders.lastExecuted?.status === 'active') {
		orders.lastExecuted.status = 'failed';
	}

	admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'return'});
	return [recordOrder(state, active, 'order.dropped', reason)];
}

/** Refuses queued work immediately, so that its entry sends it to another target. The work has not run. */
function refuseWaitingWork({admission}: SidecarState): readonly SidecarEffect[] {
	const waiting = [...admission.waiting];
	admission.waiting = [];
	return waiting.map(work => ({type: 'work.refuse', attemptId: work.attemptId, failure: createFailure(ERROR_CODES.leaving)}));
}

/** Cancels the streams of an engine so that their entries resume them on other targets. Calls of plain services must not be repeated, so they run until their own deadline. */
function cancelRunningWork({admission}: SidecarState): readonly SidecarEffect[] {
	return admission.capacity.kvBlocks === 0
		? []
		: [...admission.running.keys()].map(attemptId => ({type: 'work.cancel', attemptId}));
}

function recordOrder({instanceId}: SidecarState, {offer}: ActiveOrder, name: string, reason: string): SidecarEffect {
	return {
		type: 'decision.record', name, subject: instanceId, detail: {...offer.order, ...offer.desired, reason},
	};
}
