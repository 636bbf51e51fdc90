import {type TargetRole, type TargetState} from '@damaskspool/shared';
import {type PlanSettings} from './planSettings.js';

/** What a plan knows of one target of its availability zone. */
export type TargetSnapshot = {
	readonly targetId: string;
	readonly serviceId: string;
	readonly role: TargetRole;
	readonly state: TargetState;
	readonly models: readonly string[];
	/** When the target last changed its role or began to serve. */
	readonly inRoleSinceMs: number;
	readonly queuedPrefillTokens: number;
	readonly running: number;
	readonly freePieces: number;
	readonly totalPieces: number;
};

/** Work that callers ask of one service in one availability zone. Rates are per second. */
export type ServiceDemand = {
	readonly serviceId: string;
	readonly shortPrefillTokensRate: number;
	readonly longPrefillTokensRate: number;
	readonly shortGeneratedTokensRate: number;
	readonly longGeneratedTokensRate: number;
	/** Highest rates expected within the time that a start takes; absent where there is no forecast. */
	readonly forecastPrefillTokensRate?: number;
	readonly forecastGeneratedTokensRate?: number;
};

/** Everything that a plan is made from. */
export type ZonePlanInput = {
	readonly nowMs: number;
	readonly availabilityZone: string;
	readonly targets: readonly TargetSnapshot[];
	readonly demands: readonly ServiceDemand[];
	/** Settings that differ from the defaults. */
	readonly settings?: Partial<PlanSettings>;
	/** Whether another availability zone could start a target for less; absent where it is not known. */
	readonly hasCheaperZone?: boolean;
};

/** The one step that a zone takes next. A step is finished before the next is planned. */
export type ZoneStep
	= | {readonly kind: 'none'}
		| {readonly kind: 'changeRole'; readonly targetId: string; readonly role: TargetRole}
		| {readonly kind: 'loadModel'; readonly targetId: string; readonly modelId: string}
		| {readonly kind: 'startTarget'; readonly serviceId: string}
		| {readonly kind: 'stopTarget'; readonly targetId: string};

/** A step with its reason, which is recorded. */
export type ZonePlan = {
	readonly step: ZoneStep;
	readonly reason: string;
};

/** Plans the next step of one availability zone. It is pure; the fleet duty's holder carries the step out. */
export type PlanZone = (input: ZonePlanInput) => ZonePlan;

/**
 * Leaves the zone as it is.
 *
 * @returns no step
 */
export function planNoStep(): ZonePlan {
	return {step: {kind: 'none'}, reason: 'no planner is set'};
}
