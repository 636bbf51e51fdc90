import {
	type DesiredTarget, type FleetRecord, type Intent, type OrderNumber, type OrderReply,
} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** Reads the fleet record of the local availability zone. */
export type ReadFleet = {readonly type: 'fleet.read'; readonly callId: string};
/** Writes the fleet record of the local availability zone if its stored version is `expectedVersion`. */
export type WriteFleet = {
	readonly type: 'fleet.write';
	readonly callId: string;
	readonly record: FleetRecord;
	readonly expectedVersion: number;
};
/** Sends a stored order to the sidecar of its target. */
export type OfferOrder = {
	readonly type: 'order.offer';
	readonly targetId: string;
	readonly address: string;
	readonly dutyName: string;
	readonly order: OrderNumber;
	readonly desired: DesiredTarget;
};
/** Makes the call of a stored intent, which starts or stops a target. Skipped if the lease of the duty has lapsed. */
export type CallPlatform = {
	readonly type: 'platform.call';
	readonly dutyName: string;
	readonly epoch: number;
	readonly intent: Intent;
};
/** Effects of the fleet duty. */
export type FleetEffect = ReadFleet | WriteFleet | OfferOrder | CallPlatform;

/** A read of the zone's fleet record ended. `record` is undefined if none is stored. */
export type FleetReadEnded = TimedEvent<'fleet.readEnded', {
	readonly callId: string;
	readonly result:
		| {readonly kind: 'read'; readonly version: number; readonly record: FleetRecord | undefined}
		| {readonly kind: 'failed'};
}>;
/** A write of the zone's fleet record ended. `unknown` means that it may or may not have taken effect. */
export type FleetWriteEnded = TimedEvent<'fleet.writeEnded', {
	readonly callId: string;
	readonly result:
		| {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'}
		| {readonly kind: 'unknown'};
}>;
/** A sidecar replied to an order. `status` is undefined if the sidecar was unreachable. */
export type OfferAnswered = TimedEvent<'offer.answered', {
	readonly targetId: string;
	readonly order: OrderNumber;
	readonly status: OrderReply['status'] | undefined;
}>;
/** A call that starts or stops a target ended. `isTaken` is false if the platform did not accept it or the result is unknown. */
export type PlatformAnswered = TimedEvent<'platform.answered', {readonly key: string; readonly isTaken: boolean}>;
/** Events of the fleet duty. */
export type FleetEvent = FleetReadEnded | FleetWriteEnded | OfferAnswered | PlatformAnswered;
