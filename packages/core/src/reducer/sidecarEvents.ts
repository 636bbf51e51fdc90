import {type TargetRole} from '@damaskspool/shared';
import {type Work} from '../admission/admissionState.js';
import {type OrderEvent} from '../fleet/orderMessages.js';
import {type BaseEvent} from './createReducer.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** An entry sent work. */
export type WorkReceived = Timed<'work.received', {readonly work: Work}>;
/** The target began to answer: its prefill is done. */
export type WorkAnswered = Timed<'work.answered', {readonly attemptId: string}>;
/** The target's answer ended, whole or not. */
export type WorkEnded = Timed<'work.ended', {readonly attemptId: string; readonly generatedTokens: number}>;
/** The entry that sent the work went away or cancelled it. */
export type WorkCancelled = Timed<'work.cancelled', {readonly attemptId: string}>;
/** The target reported of itself. */
export type TargetReported = Timed<'target.reported', {
	readonly role: TargetRole;
	readonly models: string[];
	readonly isReady: boolean;
}>;
/** The target did not answer its report call. */
export type TargetSilent = Timed<'target.silent', Record<never, never>>;
/** Time passed. */
export type SidecarTick = Timed<'tick', Record<never, never>>;
/** The process was told to stop. */
export type SidecarStopRequested = Timed<'stop.requested', Record<never, never>>;

/** Every event of a sidecar. */
export type SidecarEvent
	= | WorkReceived | WorkAnswered | WorkEnded | WorkCancelled | TargetReported | TargetSilent
		| SidecarTick | SidecarStopRequested | OrderEvent;
