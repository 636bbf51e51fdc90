import {
	type DesiredTarget, type FleetRecord, type Intent, type OrderNumber, type OrderReply,
} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** Reads the orders of the own zone. */
export type ReadFleet = {readonly type: 'fleet.read'; readonly callId: string};
/** Writes the orders of the own zone where their version is the expected one. */
export type WriteFleet = {
	readonly type: 'fleet.write';
	readonly callId: string;
	readonly record: FleetRecord;
	readonly expectedVersion: number;
};
/** Sends an order, already written, to the sidecar of its target. */
export type OfferOrder = {
	readonly type: 'order.offer';
	readonly targetId: string;
	readonly address: string;
	readonly dutyName: string;
	readonly order: OrderNumber;
	readonly desired: DesiredTarget;
};
/** Makes a call, already written, that starts or stops a target. Not carried out once the duty has lapsed. */
export type CallPlatform = {
	readonly type: 'platform.call';
	readonly dutyName: string;
	readonly epoch: number;
	readonly intent: Intent;
};
/** Effects of the fleet duty. */
export type FleetEffect = ReadFleet | WriteFleet | OfferOrder | CallPlatform;

/** The orders of the zone were read; `record` is undefined where none were ever written. */
export type FleetReadEnded = TimedEvent<'fleet.readEnded', {
	readonly callId: string;
	readonly result:
		| {readonly kind: 'read'; readonly version: number; readonly record: FleetRecord | undefined}
		| {readonly kind: 'failed'};
}>;
/** The orders of the zone were written, or not, or nobody knows. */
export type FleetWriteEnded = TimedEvent<'fleet.writeEnded', {
	readonly callId: string;
	readonly result:
		| {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'}
		| {readonly kind: 'unknown'};
}>;
/** A sidecar said what it does with an order; undefined where it could not be reached. */
export type OfferAnswered = TimedEvent<'offer.answered', {
	readonly targetId: string;
	readonly order: OrderNumber;
	readonly status: OrderReply['status'] | undefined;
}>;
/** The platform took a call that starts or stops a target, or nobody knows whether it did. */
export type PlatformAnswered = TimedEvent<'platform.answered', {readonly key: string; readonly isTaken: boolean}>;
/** Events of the fleet duty. */
export type FleetEvent = FleetReadEnded | FleetWriteEnded | OfferAnswered | PlatformAnswered;
