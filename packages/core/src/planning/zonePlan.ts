import {type TargetRole, type TargetState} from '@damaskspool/shared';
import {type PlanSettings} from './planSettings.js';

/** State of one target of the availability zone at the time of planning. */
export type TargetSnapshot = {
	readonly targetId: string;
	readonly serviceId: string;
	readonly role: TargetRole;
	readonly state: TargetState;
	readonly models: readonly string[];
	/** When the target last changed its role or started serving. */
	readonly inRoleSinceMs: number;
	readonly queuedPrefillTokens: number;
	readonly running: number;
	readonly freePieces: number;
	readonly totalPieces: number;
};

/** Demand of callers for one service in one availability zone. Rates are in tokens per second. */
export type ServiceDemand = {
	readonly serviceId: string;
	readonly shortPrefillTokensRate: number;
	readonly longPrefillTokensRate: number;
	readonly shortGeneratedTokensRate: number;
	readonly longGeneratedTokensRate: number;
	/** Highest rates expected within the time that a start takes; absent without a forecast. */
	readonly forecastPrefillTokensRate?: number;
	readonly forecastGeneratedTokensRate?: number;
};

/** Input of the planner. */
export type ZonePlanInput = {
	readonly nowMs: number;
	readonly availabilityZone: string;
	readonly targets: readonly TargetSnapshot[];
	readonly demands: readonly ServiceDemand[];
	/** Overrides of the default settings. */
	readonly settings?: Partial<PlanSettings>;
	/** Whether another availability zone could start a target at a lower price; absent if unknown. */
	readonly hasCheaperZone?: boolean;
};

/** The next step of a zone. It completes before another step is planned. */
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

/** Plans the next step of one availability zone. A planner has no side effects; the holder of the fleet duty executes the step. */
export type PlanZone = (input: ZonePlanInput) => ZonePlan;

/** Returns a plan without a step, for a zone without a planner. */
export function planNoStep(): ZonePlan {
	return {step: {kind: 'none'}, reason: 'no planner is set'};
}
