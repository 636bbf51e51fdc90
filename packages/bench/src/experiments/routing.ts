import process from 'node:process';
import {
	chooseTarget, createMembershipState, createRoutingState, mergeInstanceList, mergeLoadReport, recordChoice, type RoutingDemand,
} from '@damaskspool/core';
import {type LoadReport} from '@damaskspool/shared';
import Table from 'cli-table3';
import {build} from 'hdr-histogram-js';
import {createRandom} from '../load/createTraffic.js';
import {type Experiment} from './experiment.js';

const TARGET_COUNTS = [60, 300, 3000];
const MODEL_COUNT = 12;
const ZONE_COUNT = 12;
const DECISION_COUNT = 20_000;
/** Decisions before the measurement, in which the runtime compiles the code. */
const WARM_UP_DECISION_COUNT = 5000;
/** Decisions between two changes of the known targets. Each change clears the cached subsets. At 53 requests per second, one change per minute. */
const DECISIONS_PER_MEMBERSHIP_CHANGE = 3180;
/** Number of documents. Each prompt begins with the prefixes of one of them. */
const DOCUMENT_COUNT = 400;
const BLOCKS_PER_DOCUMENT = 8;
const SEED = 41;
const NANOSECONDS_PER_MICROSECOND = 1000n;
/** Maximum p99 of the decision time. */
const GOAL_P99_US = 100;

/**
 * Measures the time to choose a target for increasing numbers of known targets.
 *
 * @returns exit code: 1 if the p99 of any count reaches {@link GOAL_P99_US}
 */
export const runRoutingExperiment: Experiment = async () => {
	const table = new Table({head: ['targets', 'models', 'p50 µs', 'p99 µs', 'processor p50 µs', 'processor p99 µs', 'targets used']});
	const rows = TARGET_COUNTS.map(count => ({targets: count, ...measureDecisions(count)}));
	for (const row of rows) {
		table.push([row.targets, MODEL_COUNT, row.p50Us, row.p99Us, row.cpuP50Us, row.cpuP99Us, row.targetsUsed]);
	}

	process.stdout.write(`${table.toString()}\n`);
	process.stdout.write(`${JSON.stringify({
		experiment: 'routing', seed: SEED, decisions: DECISION_COUNT, models: MODEL_COUNT, goalP99Us: GOAL_P99_US, rows,
	})}\n`);
	return rows.every(row => row.p99Us < GOAL_P99_US) ? 0 : 1;
};

function measureDecisions(targetCount: number) {
	const random = createRandom(SEED);
	const instances = Array.from({length: targetCount}, (_, index) => ({
		instanceId: `target-${index}`,
		kind: 'target' as const,
		availabilityZone: `zone-${Math.floor(index / MODEL_COUNT) % ZONE_COUNT}`,
		region: 'r',
		address: '127.0.0.1:1',
		state: 'live' as const,
		serviceId: 's',
		incarnation: 1,
	}));
	const membership = createMembershipState();
	mergeInstanceList(membership, instances, 'entry');
	for (let index = 0; index < targetCount; index += 1) {
		mergeLoadReport(membership, createLoadReport(index, random), 0);
	}

	const routing = createRoutingState();
	const histogram = build({numberOfSignificantValueDigits: 3});
	const cpuHistogram = build({numberOfSignificantValueDigits: 3});
	const usedTargetIds = new Set<string>();
	for (let index = 0; index < WARM_UP_DECISION_COUNT + DECISION_COUNT; index += 1) {
		const demand = createDemand(random);
		const cpuBefore = process.cpuUsage();
		const startedAtNs = process.hrtime.bigint();
		if (index % DECISIONS_PER_MEMBERSHIP_CHANGE === 0) {
			routing.subsets.clear();
		}

		const options = {
			routing, membership, demand, entryId: 'entry', availabilityZone: 'zone-0', nowMs: index,
		};
		const target = chooseTarget(options)!;
		recordChoice({
			...options, target, requestId: `${index}`, attemptId: `${index}.1`,
		});
		const elapsedUs = (process.hrtime.bigint() - startedAtNs) / NANOSECONDS_PER_MICROSECOND;
		const cpuUsage = process.cpuUsage(cpuBefore);
		endAttempt(routing, `${index - 50}.1`);
		if (index >= WARM_UP_DECISION_COUNT) {
			histogram.recordValue(Number(elapsedUs));
			cpuHistogram.recordValue(cpuUsage.user + cpuUsage.system);
			usedTargetIds.add(target.targetId);
		}
	}

	return {
		p50Us: histogram.getValueAtPercentile(50),
		p99Us: histogram.getValueAtPercentile(99),
		cpuP50Us: cpuHistogram.getValueAtPercentile(50),
		cpuP99Us: cpuHistogram.getValueAtPercentile(99),
		p999Us: histogram.getValueAtPercentile(99.9),
		highestUs: histogram.maxValue,
		targetsUsed: usedTargetIds.size,
	};
}

/** Ends an attempt as the reducer does, so that the local loads are those of a running entry. */
function endAttempt(routing: ReturnType<typeof createRoutingState>, attemptId: string): void {
	const sentAttempt = routing.sentAttempts.get(attemptId);
	const localLoad = sentAttempt === undefined ? undefined : routing.localLoads.get(sentAttempt.targetId);
	if (sentAttempt !== undefined && localLoad !== undefined) {
		localLoad.running -= 1;
		localLoad.prefillTokens -= sentAttempt.prefillTokens;
		routing.sentAttempts.delete(attemptId);
	}
}

function createDemand(random: () => number): RoutingDemand {
	const document = Math.floor(random() * DOCUMENT_COUNT);
	return {
		serviceId: 's',
		modelId: `m${document % MODEL_COUNT}`,
		promptTokens: BLOCKS_PER_DOCUMENT * 1000,
		maxTokens: 50,
		excludedTargetIds: new Set(),
		prefixHashes: Array.from({length: BLOCKS_PER_DOCUMENT}, (_, block) => `d${document}-${block}`),
		randomSeed: Math.floor(random() * (2 ** 32)),
		firstTokenGoalMs: 720,
		betweenTokensGoalMs: 41,
	};
}

function createLoadReport(index: number, random: () => number): LoadReport {
	return {
		targetId: `target-${index}`,
		role: 'mixed',
		state: 'serving',
		models: [`m${index % MODEL_COUNT}`],
		running: Math.floor(random() * 8),
		waiting: 0,
		queuedPrefillTokens: Math.floor(random() * 4000),
		freePieces: 64,
		totalPieces: 64,
		prefillTokensTotal: 0,
		generatedTokensTotal: 0,
		ageMs: 0,
	};
}
