import {
	addForecast, advanceDemand, createDemand, type TargetSnapshot, planZone, type PlanSettings, type ServiceDemand,
} from '@damaskspool/core';
import {createRpcClient} from '@damaskspool/runtime';
import {type LoadReport, loadReportSchema} from '@damaskspool/shared';
import {type Engine} from '@damaskspool/stand-ins';
import {type RunningTarget} from '../../harness/startDeployment.js';

/** Time between plans: six seconds of the deployment. */
const PLAN_INTERVAL_MS = 200;
/** Averages at the scale of the run: 20 s and 3 min of the deployment. */
const AVERAGE_TIMES = {shortMs: 700, longMs: 6000};

/** Options of {@link startRoleDriver}. */
export type RoleDriverOptions = {
	readonly targets: readonly RunningTarget[];
	readonly plan: Partial<PlanSettings>;
	/** Demand of one target's share that is told instead of measured. */
	readonly tellDemand?: () => {readonly prefill: number; readonly generated: number};
};

/** Carries out the planner's role changes. */
export type RoleDriver = {
	readonly countChanges: () => number;
	readonly stop: () => Promise<void>;
};

type DrivenTarget = {
	readonly running: RunningTarget;
	readonly engine: Engine;
	isChanging: boolean;
	inRoleSinceMs: number;
	load: LoadReport | undefined;
	prefillTokensSeen: number;
	generatedTokensSeen: number;
};

/**
 * Starts to plan each availability zone at an interval, and carries the
 * planner's role changes out at the stand-ins themselves.
 *
 * @param options - targets and the planner's settings
 * @returns the driver
 */
export function startRoleDriver({targets, plan, tellDemand}: RoleDriverOptions): RoleDriver {
	const rpc = createRpcClient();
	const startedAtMs = performance.now();
	// The targets have been in their role since long before the run.
	const driven: DrivenTarget[] = targets.map(running => ({
		running,
		engine: running.standIn as Engine,
		isChanging: false,
		inRoleSinceMs: startedAtMs - (plan.dwellMs ?? 0),
		load: undefined,
		prefillTokensSeen: 0,
		generatedTokensSeen: 0,
	}));
	const demands = new Map<string, ServiceDemand>();
	let changes = 0;
	let lastMs = startedAtMs;

	const readLoads = async () => {
		await Promise.all(driven.map(async target => {
			const read = await rpc.call(target.running.sidecar.addresses.listen!, 'load.get', {afterSequence: Number.MAX_SAFE_INTEGER});
			target.load = read.ok ? loadReportSchema.safeParse(read.val).data : undefined;
		}));
	};

	const measureDemand = (zone: string, own: readonly DrivenTarget[], durationMs: number): ServiceDemand => {
		const {serviceId} = toPlanned(own[0]!);
		if (tellDemand !== undefined) {
			const told = tellDemand();
			const part = own.length / driven.length;
			return {
				serviceId,
				shortPrefillTokensRate: told.prefill * part,
				longPrefillTokensRate: told.prefill * part,
				shortGeneratedTokensRate: told.generated * part,
				longGeneratedTokensRate: told.generated * part,
			};
		}

		const sample = {prefillTokens: 0, generatedTokens: 0, durationMs};
		for (const target of own) {
			const {prefillTokensTotal = target.prefillTokensSeen, generatedTokensTotal = target.generatedTokensSeen} = target.load ?? {};
			sample.prefillTokens += prefillTokensTotal - target.prefillTokensSeen;
			sample.generatedTokens += generatedTokensTotal - target.generatedTokensSeen;
			target.prefillTokensSeen = prefillTokensTotal;
			target.generatedTokensSeen = generatedTokensTotal;
		}

		const demand = advanceDemand(demands.get(zone) ?? createDemand(serviceId), sample, AVERAGE_TIMES);
		demands.set(zone, demand);
		return addForecast(demand, 0, AVERAGE_TIMES);
	};

	const changeRole = async (target: DrivenTarget, role: TargetSnapshot['role']) => {
		changes += 1;
		target.isChanging = true;
		await target.engine.changeRole(role);
		target.isChanging = false;
		target.inRoleSinceMs = performance.now();
	};

	const planAll = () => {
		const nowMs = performance.now();
		// The averages say little before half a long time constant.
		const isSettled = tellDemand !== undefined || nowMs - startedAtMs > AVERAGE_TIMES.longMs / 2;
		const zones = new Set(driven.map(target => target.running.availabilityZone));
		for (const zone of zones) {
			const own = driven.filter(target => target.running.availabilityZone === zone);
			const demand = measureDemand(zone, own, nowMs - lastMs);
			const {step} = planZone({
				nowMs, availabilityZone: zone, targets: own.map(target => toPlanned(target)), demands: [demand], settings: plan,
			});
			const target = step.kind === 'changeRole' ? own.find(({running}) => running.targetId === step.targetId) : undefined;
			if (step.kind === 'changeRole' && target !== undefined && isSettled) {
				void changeRole(target, step.role);
			}
		}

		lastMs = nowMs;
	};

	let cycle = Promise.resolve();
	const timer = setInterval(() => {
		cycle = cycle.then(readLoads).then(planAll);
	}, PLAN_INTERVAL_MS);
	return {
		countChanges: () => changes,
		async stop() {
			clearInterval(timer);
			await cycle;
			await rpc.close();
		},
	};
}

function toPlanned({running, engine, isChanging, inRoleSinceMs, load}: DrivenTarget): TargetSnapshot {
	return {
		targetId: running.targetId,
		serviceId: running.pool.service,
		role: engine.readRole(),
		state: isChanging ? 'changingRole' : (load === undefined ? 'gone' : 'serving'),
		models: running.pool.models,
		inRoleSinceMs,
		queuedPrefillTokens: load?.queuedPrefillTokens ?? 0,
		running: load?.running ?? 0,
		freePieces: load?.freePieces ?? 0,
		totalPieces: running.pool.pieces,
	};
}
