import {type LeaseRecord} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** Reads the lease object of a duty. */
export type ReadLease = {readonly type: 'lease.read'; readonly dutyName: string; readonly callId: string};
/** Writes the lease object of a duty where its version is the expected one. */
export type WriteLease = {
	readonly type: 'lease.write';
	readonly dutyName: string;
	readonly callId: string;
	readonly record: LeaseRecord;
	readonly expectedVersion: number;
};
/** Effects of leases. */
export type LeaseEffect = ReadLease | WriteLease;

/** A lease object was read; `object` is undefined where none exists. */
export type LeaseReadEnded = Timed<'lease.readEnded', {
	readonly dutyName: string;
	readonly callId: string;
	readonly result:
		| {readonly kind: 'read'; readonly version: number; readonly record: LeaseRecord | undefined}
		| {readonly kind: 'failed'};
}>;
/** A lease object was written, or not, or nobody knows. */
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
