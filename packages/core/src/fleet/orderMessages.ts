import {
	type Assignment, type AuthorityProof, type OrderNumber, type OrderOffer, type OrderReply, type TargetRole,
} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** One change that a sidecar requests from its engine. */
export type TargetStep
	= | {readonly kind: 'changeRole'; readonly role: TargetRole}
		| {readonly kind: 'loadModel'; readonly modelId: string};

/** Replies to the sender of an order. */
export type ReplyToOffer = {readonly type: 'order.reply'; readonly offerId: string; readonly reply: OrderReply};
/** Requests a proof of authority from the holder of a duty. */
export type RequestAuthority = {
	readonly type: 'authority.ask';
	readonly nonce: string;
	readonly holderAddress: string;
	readonly dutyName: string;
};
/** Requests one change from the target. Skipped if the authority has expired. */
export type ChangeTarget = {
	readonly type: 'target.change';
	readonly stepId: string;
	readonly order: OrderNumber;
	readonly step: TargetStep;
	readonly authorityUntilMs: number;
};
/** Reads the assignment of the target from the object API. */
export type ReadAssignment = {readonly type: 'assignment.read'};
/** Effects of order execution at a sidecar. */
export type OrderEffect = ReplyToOffer | RequestAuthority | ChangeTarget | ReadAssignment;

/** An entry sent an order. */
export type OrderOffered = TimedEvent<'order.offered', {readonly offerId: string; readonly offer: OrderOffer}>;
/** A request for a proof ended. `proof` is undefined if the holder did not prove its authority. The nonce identifies late answers. */
export type AuthorityAnswered = TimedEvent<'authority.answered', {
	readonly nonce: string;
	readonly proof: AuthorityProof | undefined;
}>;
/** A requested change of the target ended. `isDone` is false if it failed or its result is unknown. */
export type TargetChanged = TimedEvent<'target.changed', {readonly stepId: string; readonly isDone: boolean}>;
/** The assignment of the target was read. It is undefined if the target has none. */
export type AssignmentRead = TimedEvent<'assignment.wasRead', {
	/** Epoch of the fleet record. Orders of earlier epochs are stale. */
	readonly epoch: number;
	readonly assignment: Assignment | undefined;
}>;
/** Events of order execution at a sidecar. */
export type OrderEvent = OrderOffered | AuthorityAnswered | TargetChanged | AssignmentRead;
