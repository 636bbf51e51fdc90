import {
	addForecast, advanceDemand, createDemand, type TargetSnapshot, planZone, type PlanSettings, type ServiceDemand,
} from '@damaskspool/core';
import {createRpcClient} from '@damaskspool/runtime';
import {type LoadReport, loadReportSchema} from '@damaskspool/shared';
import {type Engine} from '@damaskspool/stand-ins';
import {type RunningTarget} from '../../harness/startDeployment.js';

/** Time between two plans: six seconds of deployment time. */
const PLAN_INTERVAL_MS = 200;
/** Time constants of the demand averages at the scale of a run: 20 s and 3 min of deployment time. */
const AVERAGE_TIME_CONSTANTS = {shortMs: 700, longMs: 6000};

/** Options of {@link startRoleDriver}. */
export type RoleDriverOptions = {
	readonly targets: readonly RunningTarget[];
	readonly planSettings: Partial<PlanSettings>;
	/** Returns the demand on all targets together. If present, it replaces the measured demand. */
	readonly computeKnownDemand?: () => {readonly prefillTokensPerSecond: number; readonly generatedTokensPerSecond: number};
};

/** Running planner of {@link startRoleDriver}. */
export type RoleDriver = {
	/** Counts the role changes that were started. */
	readonly countRoleChanges: () => number;
	/** Stops planning once the current round is complete. */
	readonly stop: () => Promise<void>;
};

/** Target with the state that the planner needs. */
type DriverTarget = {
	readonly runningTarget: RunningTarget;
	readonly engine: Engine;
	isChanging: boolean;
	inRoleSinceMs: number;
	/** Undefined if the sidecar did not answer the last request. */
	loadReport: LoadReport | undefined;
	previousPrefillTokensTotal: number;
	previousGeneratedTokensTotal: number;
};

/** Plans each availability zone at an interval, and applies the planned role changes directly at the stand-in engines. */
export function startRoleDriver({targets, planSettings, computeKnownDemand}: RoleDriverOptions): RoleDriver {
	const rpc = createRpcClient();
	const startedAtMs = performance.now();
	// The dwell time of every target counts as over when the run starts.
	const driverTargets: DriverTarget[] = targets.map(runningTarget => ({
		runningTarget,
		engine: runningTarget.standIn as Engine,
		isChanging: false,
		inRoleSinceMs: startedAtMs - (planSettings.dwellMs ?? 0),
		loadReport: undefined,
		previousPrefillTokensTotal: 0,
		previousGeneratedTokensTotal: 0,
	}));
	const demands = new Map<string, ServiceDemand>();
	let roleChangeCount = 0;
	let lastPlanAtMs = startedAtMs;

	const requestLoadReports = async () => {
		await Promise.all(driverTargets.map(async target => {
			const reply = await rpc.call(target.runningTarget.sidecar.addresses.listen!, 'load.get', {afterSequence: Number.MAX_SAFE_INTEGER});
			target.loadReport = reply.ok ? loadReportSchema.safeParse(reply.val).data : undefined;
		}));
	};

	const measureDemand = (zone: string, zoneTargets: readonly DriverTarget[], durationMs: number): ServiceDemand => {
		const {serviceId} = toTargetSnapshot(zoneTargets[0]!);
		if (computeKnownDemand !== undefined) {
			const knownDemand = computeKnownDemand();
			const zoneShare = zoneTargets.length / driverTargets.length;
			return {
				serviceId,
				shortPrefillTokensRate: knownDemand.prefillTokensPerSecond * zoneShare,
				longPrefillTokensRate: knownDemand.prefillTokensPerSecond * zoneShare,
				shortGeneratedTokensRate: knownDemand.generatedTokensPerSecond * zoneShare,
				longGeneratedTokensRate: knownDemand.generatedTokensPerSecond * zoneShare,
			};
		}

		const sample = {prefillTokens: 0, generatedTokens: 0, durationMs};
		for (const target of zoneTargets) {
			const {prefillTokensTotal = target.previousPrefillTokensTotal, generatedTokensTotal = target.previousGeneratedTokensTotal} = target.loadReport ?? {};
			sample.prefillTokens += prefillTokensTotal - target.previousPrefillTokensTotal;
			sample.generatedTokens += generatedTokensTotal - target.previousGeneratedTokensTotal;
			target.previousPrefillTokensTotal = prefillTokensTotal;
			target.previousGeneratedTokensTotal = generatedTokensTotal;
		}

		const demand = advanceDemand(demands.get(zone) ?? createDemand(serviceId), sample, AVERAGE_TIME_CONSTANTS);
		demands.set(zone, demand);
		return addForecast(demand, 0, AVERAGE_TIME_CONSTANTS);
	};

	const changeRole = async (target: DriverTarget, role: TargetSnapshot['role']) => {
		roleChangeCount += 1;
		target.isChanging = true;
		await target.engine.changeRole(role);
		target.isChanging = false;
		target.inRoleSinceMs = performance.now();
	};

	const planZones = () => {
		const nowMs = performance.now();
		// Measured averages are unreliable in the first half of the long time constant.
		const mayChangeRoles = computeKnownDemand !== undefined || nowMs - startedAtMs > AVERAGE_TIME_CONSTANTS.longMs / 2;
		const zones = new Set(driverTargets.map(target => target.runningTarget.availabilityZone));
		for (const zone of zones) {
			const zoneTargets = driverTargets.filter(target => target.runningTarget.availabilityZone === zone);
			const demand = measureDemand(zone, zoneTargets, nowMs - lastPlanAtMs);
			const {step} = planZone({
				nowMs, availabilityZone: zone, targets: zoneTargets.map(target => toTargetSnapshot(target)), demands: [demand], settings: planSettings,
			});
			const target = step.kind === 'changeRole' ? zoneTargets.find(({runningTarget}) => runningTarget.targetId === step.targetId) : undefined;
			if (step.kind === 'changeRole' && target !== undefined && mayChangeRoles) {
				void changeRole(target, step.role);
			}
		}

		lastPlanAtMs = nowMs;
	};

	let cycle = Promise.resolve();
	const timer = setInterval(() => {
		cycle = cycle.then(requestLoadReports).then(planZones);
	}, PLAN_INTERVAL_MS);
	return {
		countRoleChanges: () => roleChangeCount,
		async stop() {
			clearInterval(timer);
			await cycle;
			await rpc.close();
		},
	};
}

function toTargetSnapshot({runningTarget, engine, isChanging, inRoleSinceMs, loadReport}: DriverTarget): TargetSnapshot {
	return {
		targetId: runningTarget.targetId,
		serviceId: runningTarget.pool.service,
		role: engine.readRole(),
		state: isChanging ? 'changingRole' : (loadReport === undefined ? 'gone' : 'serving'),
		models: runningTarget.pool.models,
		inRoleSinceMs,
		queuedPrefillTokens: loadReport?.queuedPrefillTokens ?? 0,
		running: loadReport?.running ?? 0,
		freePieces: loadReport?.freePieces ?? 0,
		totalPieces: runningTarget.pool.pieces,
	};
}
