import path from 'node:path';
import {type Engine} from '@damaskspool/stand-ins';
import {type DeploymentFile, readDeployment} from '../../harness/deploymentFile.js';
import {type RunningDeployment, startDeployment} from '../../harness/startDeployment.js';
import {runTraffic} from '../../load/runTraffic.js';
import {computeRequestedTokenRates, createShiftTraffic, TRACES} from './createShiftTraffic.js';
import {
	BETWEEN_TOKENS_GOAL_MS, FIRST_TOKEN_GOAL_MS, RUN_MS, SHIFT_ENGINE, SHIFT_PLAN_SETTINGS, SHIFT_POLICIES, type ShiftFault, type ShiftPolicy, type ShiftPolicyName,
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

const REQUEST_DEADLINE_MS = 8000;
/** Share of the run after which the fault is injected: at the second change of the mix. */
const FAULT_START_SHARE = 0.5;
/** Share of prompt tokens assumed to miss the prefix cache until the engines have counted tokens. */
const INITIAL_MISS_SHARE = 0.5;

/** Starts a deployment, runs one policy against one trace, and summarizes what callers observed and engines counted. */
export async function runShift(run: ShiftRun): Promise<ShiftSummary> {
	const policy: ShiftPolicy = SHIFT_POLICIES[run.policy];
	const trace = TRACES[run.deployment]!;
	const {file: deploymentFile, document: deploymentDocument} = await readDeployment(path.resolve('examples', run.deployment));
	const file: DeploymentFile = {
		...deploymentFile,
		pools: deploymentFile.pools
			.filter(pool => pool.kind === 'engine')
			.map(pool => ({...pool, concurrency: SHIFT_ENGINE.batchLimit, pieces: SHIFT_ENGINE.pieces})),
	};
	const document = {
		...deploymentDocument,
		services: deploymentDocument.services.map(service => ({
			...service,
			firstTokenGoalMs: FIRST_TOKEN_GOAL_MS,
			betweenTokensGoalMs: BETWEEN_TOKENS_GOAL_MS,
			routes: service.routes.map(route => ({...route, deadlineMs: REQUEST_DEADLINE_MS})),
		})),
	};
	const deployment = await startDeployment({
		deployment: {file, document},
		engineOptions: SHIFT_ENGINE,
		entrySettings: {routingPolicy: policy.routing, pollInterval: '250 ms', fleetPlanner: 'off'},
		sidecarSettings: {reportInterval: '100 ms'},
	});
	const engines = deployment.targets.map(target => target.standIn as Engine);
	await setInitialRoles(deployment, policy);
	const startedAtMs = performance.now();
	const driver = policy.planner === 'none'
		? undefined
		: startRoleDriver({
			targets: deployment.targets,
			planSettings: {...SHIFT_PLAN_SETTINGS, ...policy.planSettings},
			...(policy.planner === 'told' && {
				computeKnownDemand() {
					const requestedRates = computeRequestedTokenRates(file, trace, performance.now() - startedAtMs);
					return {prefillTokensPerSecond: requestedRates.promptTokensPerSecond * computeMissShare(engines), generatedTokensPerSecond: requestedRates.generatedTokensPerSecond};
				},
			}),
		});
	const roles: RoleSample[] = [];
	const samplingTimer = setInterval(() => {
		roles.push({atMs: performance.now() - startedAtMs, roles: engines.map(engine => engine.readRole())});
	}, 500);
	const faultTimer = setTimeout(() => {
		injectFault(deployment, run.fault);
	}, RUN_MS * FAULT_START_SHARE);
	const results = await runTraffic({
		planned: createShiftTraffic(file, trace, run.seed),
		addresses: deployment.entries.map(entry => entry.addresses.listen!),
		keys: deployment.keys,
	});
	clearInterval(samplingTimer);
	clearTimeout(faultTimer);
	await driver?.stop();
	const summary = summarizeShift({
		results, roles, roleChanges: driver?.countRoleChanges() ?? 0, stats: engines.map(engine => engine.readStats()),
	});
	deployment.platform.setFault({kind: 'none'});
	await deployment.stop();
	return summary;
}

async function setInitialRoles({targets}: RunningDeployment, policy: ShiftPolicy): Promise<void> {
	await Promise.all(targets.map(async target => {
		const index = Number(target.targetId.split('-').at(-1)) - 1;
		await (target.standIn as Engine).changeRole(policy.chooseInitialRole(index));
	}));
	// Gives the entries time to receive the roles in load reports.
	await new Promise(resolve => {
		setTimeout(resolve, 700);
	});
}

/** Computes the share of prompt tokens that the engines did not find in their prefix caches. */
function computeMissShare(engines: readonly Engine[]): number {
	const stats = engines.map(engine => engine.readStats());
	const prefilled = stats.reduce((sum, {prefilledTokens}) => sum + prefilledTokens, 0);
	const cached = stats.reduce((sum, {cachedTokens}) => sum + cachedTokens, 0);
	return prefilled + cached === 0 ? INITIAL_MISS_SHARE : prefilled / (prefilled + cached);
}

const FAULT_ACTIONS: Readonly<Record<ShiftFault, (deployment: RunningDeployment) => void>> = {
	none() {
		// Injects no fault.
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

function injectFault(deployment: RunningDeployment, fault: ShiftFault): void {
	FAULT_ACTIONS[fault](deployment);
}
