import path from 'node:path';
import {type Engine} from '@damaskspool/stand-ins';
import {type DeploymentFile, readDeployment} from '../../harness/deploymentFile.js';
import {type RunningDeployment, startDeployment} from '../../harness/startDeployment.js';
import {runTraffic} from '../../load/runTraffic.js';
import {computeAskedRates, createShiftTraffic, TRACES} from './createShiftTraffic.js';
import {
	BETWEEN_TOKENS_GOAL_MS, FIRST_TOKEN_GOAL_MS, RUN_MS, SHIFT_ENGINE, SHIFT_PLAN, SHIFT_POLICIES, type ShiftFault, type ShiftPolicy, type ShiftPolicyName,
} from './shiftSettings.js';
import {startRoleDriver} from './startRoleDriver.js';
import {type RoleSample, type ShiftSummary, summarizeShift} from './summarizeShift.js';

/** One run of the experiment. */
export type ShiftRun = {
	readonly deployment: string;
	readonly policy: ShiftPolicyName;
	readonly seed: number;
	readonly fault: ShiftFault;
};

/** Longest life of a request in the experiment. */
const DEADLINE_MS = 8000;
/** When a fault sets in, as a part of the run: at the second swing. */
const FAULT_AT = 0.5;
/** Share of uncached prompt tokens that the told planner takes before the engines have counted any. */
const FIRST_MISS_SHARE = 0.5;

/**
 * Runs one policy against one trace.
 *
 * @param run - deployment, policy, seed and fault
 * @returns what callers and targets saw
 */
export async function runShift(run: ShiftRun): Promise<ShiftSummary> {
	const policy: ShiftPolicy = SHIFT_POLICIES[run.policy];
	const trace = TRACES[run.deployment]!;
	const {file: whole, document: wholeDocument} = await readDeployment(path.resolve('examples', run.deployment));
	const file: DeploymentFile = {
		...whole,
		pools: whole.pools
			.filter(pool => pool.kind === 'engine')
			.map(pool => ({...pool, concurrency: SHIFT_ENGINE.batchLimit, pieces: SHIFT_ENGINE.pieces})),
	};
	const document = {
		...wholeDocument,
		services: wholeDocument.services.map(service => ({
			...service,
			firstTokenGoalMs: FIRST_TOKEN_GOAL_MS,
			betweenTokensGoalMs: BETWEEN_TOKENS_GOAL_MS,
			routes: service.routes.map(route => ({...route, deadlineMs: DEADLINE_MS})),
		})),
	};
	const running = await startDeployment({
		deployment: {file, document},
		engineOptions: SHIFT_ENGINE,
		entrySettings: {routingPolicy: policy.routing, pollInterval: '250 ms', fleetPlanner: 'off'},
		sidecarSettings: {reportInterval: '100 ms'},
	});
	const engines = running.targets.map(target => target.standIn as Engine);
	await setFirstRoles(running, policy);
	const startedAt = performance.now();
	const driver = policy.planner === 'none'
		? undefined
		: startRoleDriver({
			targets: running.targets,
			plan: {...SHIFT_PLAN, ...policy.plan},
			...(policy.planner === 'told' && {
				tellDemand() {
					const asked = computeAskedRates(file, trace, performance.now() - startedAt);
					return {prefill: asked.prompt * computeMissShare(engines), generated: asked.generated};
				},
			}),
		});
	const roles: RoleSample[] = [];
	const sampling = setInterval(() => {
		roles.push({atMs: performance.now() - startedAt, roles: engines.map(engine => engine.readRole())});
	}, 500);
	const fault = setTimeout(() => {
		causeFault(running, run.fault);
	}, RUN_MS * FAULT_AT);
	const results = await runTraffic({
		planned: createShiftTraffic(file, trace, run.seed),
		addresses: running.entries.map(entry => entry.addresses.listen!),
		keys: running.keys,
	});
	clearInterval(sampling);
	clearTimeout(fault);
	await driver?.stop();
	const summary = summarizeShift({
		results, roles, roleChanges: driver?.countChanges() ?? 0, stats: engines.map(engine => engine.readStats()),
	});
	running.platform.setFault({kind: 'none'});
	await running.stop();
	return summary;
}

async function setFirstRoles({targets}: RunningDeployment, policy: ShiftPolicy): Promise<void> {
	await Promise.all(targets.map(async target => {
		const index = Number(target.targetId.split('-').at(-1)) - 1;
		await (target.standIn as Engine).changeRole(policy.firstRole(index));
	}));
	// The entries learn of the roles before the first request comes.
	await new Promise(resolve => {
		setTimeout(resolve, 700);
	});
}

function computeMissShare(engines: readonly Engine[]): number {
	const stats = engines.map(engine => engine.readStats());
	const prefilled = stats.reduce((sum, {prefilledTokens}) => sum + prefilledTokens, 0);
	const cached = stats.reduce((sum, {cachedTokens}) => sum + cachedTokens, 0);
	return prefilled + cached === 0 ? FIRST_MISS_SHARE : prefilled / (prefilled + cached);
}

/** What each fault does, by its name. */
const FAULTS: Readonly<Record<ShiftFault, (running: RunningDeployment) => void>> = {
	none() {
		// The run goes on as it is.
	},
	killThird({targets}) {
		for (const [index, target] of targets.entries()) {
			if (index % 3 === 0) {
				target.sidecar.signal('SIGKILL');
			}
		}
	},
	storeDown({platform}) {
		platform.setFault({kind: 'down'});
	},
};

function causeFault(running: RunningDeployment, fault: ShiftFault): void {
	FAULTS[fault](running);
}
