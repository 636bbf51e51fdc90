import {type LeaseRecord} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** Reads the lease object of a duty. */
export type ReadLease = {readonly type: 'lease.read'; readonly dutyName: string; readonly callId: string};
/** Writes the lease object of a duty if its version equals `expectedVersion`. */
export type WriteLease = {
	readonly type: 'lease.write';
	readonly dutyName: string;
	readonly callId: string;
	readonly record: LeaseRecord;
	readonly expectedVersion: number;
};
/** Effects of leases. */
export type LeaseEffect = ReadLease | WriteLease;

/** The result of reading a lease object. `record` is undefined if the object does not exist. */
export type LeaseReadEnded = Timed<'lease.readEnded', {
	readonly dutyName: string;
	readonly callId: string;
	readonly result:
		| {readonly kind: 'read'; readonly version: number; readonly record: LeaseRecord | undefined}
		| {readonly kind: 'failed'};
}>;
/** The result of writing a lease object. An `unknown` write may still take effect. */
export type LeaseWriteEnded = Timed<'lease.writeEnded', {
	readonly dutyName: string;
	readonly callId: string;
	readonly result:
		| {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'}
		| {readonly kind: 'unknown'};
}>;
/** Events of leases. */
export type LeaseEvent = LeaseReadEnded | LeaseWriteEnded;
