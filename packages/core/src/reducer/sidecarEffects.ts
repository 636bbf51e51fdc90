import {type Failure} from '@damaskspool/shared';
import {type OrderEffect} from '../fleet/orderMessages.js';
import {type SendUsageCall} from '../usage/usageCalls.js';

/** Hands admitted work to the target. */
export type StartWork = {readonly type: 'work.start'; readonly attemptId: string};
/** Refuses work before the target saw anything of it. */
export type RefuseWork = {readonly type: 'work.refuse'; readonly attemptId: string; readonly failure: Failure};
/** Ends work at the target. */
export type CancelWork = {readonly type: 'work.cancel'; readonly attemptId: string};
/** Records a decision for logs and `query 'events'`. */
export type RecordSidecarDecision = {
	readonly type: 'decision.record';
	readonly name: string;
	readonly subject: string;
	readonly detail: Readonly<Record<string, unknown>>;
};

/** Every effect of a sidecar. */
export type SidecarEffect
	= | StartWork | RefuseWork | CancelWork | RecordSidecarDecision
		| OrderEffect | SendUsageCall;
