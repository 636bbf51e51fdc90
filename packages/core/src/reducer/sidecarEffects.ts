import {type Failure} from '@damaskspool/shared';
import {type OrderEffect} from '../fleet/orderMessages.js';
import {type SendUsageCall} from '../usage/usageCalls.js';

/** Forwards admitted work to the target. */
export type StartWork = {readonly type: 'work.start'; readonly attemptId: string};
/** Refuses work that was not forwarded to the target. */
export type RefuseWork = {readonly type: 'work.refuse'; readonly attemptId: string; readonly failure: Failure};
/** Cancels work that runs on the target. */
export type CancelWork = {readonly type: 'work.cancel'; readonly attemptId: string};
/** Records a decision for the log and for the query source `events`. */
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
