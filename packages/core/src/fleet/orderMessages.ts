import {
	type Assignment, type AuthorityProof, type OrderNumber, type OrderOffer, type OrderReply, type TargetRole,
} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** One change that an engine is told to make. */
export type TargetStep
	= | {readonly kind: 'changeRole'; readonly role: TargetRole}
		| {readonly kind: 'loadModel'; readonly modelId: string};

/** Answers the sender of an order. */
export type ReplyToOffer = {readonly type: 'order.reply'; readonly offerId: string; readonly reply: OrderReply};
/** Asks the holder for a proof of its authority. */
export type RequestAuthority = {
	readonly type: 'authority.ask';
	readonly nonce: string;
	readonly holderAddress: string;
	readonly dutyName: string;
};
/** Tells the target to make one change. Not carried out once the authority has lapsed. */
export type ChangeTarget = {
	readonly type: 'target.change';
	readonly stepId: string;
	readonly order: OrderNumber;
	readonly step: TargetStep;
	readonly authorityUntilMs: number;
};
/** Reads the orders of this target from the object API. */
export type ReadAssignment = {readonly type: 'assignment.read'};
/** Effects of orders at a sidecar. */
export type OrderEffect = ReplyToOffer | RequestAuthority | ChangeTarget | ReadAssignment;

/** An order came in. */
export type OrderOffered = TimedEvent<'order.offered', {readonly offerId: string; readonly offer: OrderOffer}>;
/** The holder answered, or not; late answers are told by their nonce. */
export type AuthorityAnswered = TimedEvent<'authority.answered', {
	readonly nonce: string;
	readonly proof: AuthorityProof | undefined;
}>;
/** The target made a change, or not, or nobody knows. */
export type TargetChanged = TimedEvent<'target.changed', {readonly stepId: string; readonly isDone: boolean}>;
/** The orders of this target were read; undefined for a target without any. */
export type AssignmentRead = TimedEvent<'assignment.wasRead', {
	/** Epoch of the whole object, below which no order is taken. */
	readonly epoch: number;
	readonly assignment: Assignment | undefined;
}>;
/** Events of orders at a sidecar. */
export type OrderEvent = OrderOffered | AuthorityAnswered | TargetChanged | AssignmentRead;
