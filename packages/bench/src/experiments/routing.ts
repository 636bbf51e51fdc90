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
const MODELS = 12;
const ZONES = 12;
const DECISIONS = 20_000;
/** Decisions before the clock counts, in which the runtime compiles the code. */
const WARM_UP_DECISIONS = 5000;
/** Decisions between two changes of the known targets, after which subsets are selected anew: one a minute at 53 requests a second. */
const DECISIONS_PER_CHANGE = 3180;
/** Documents whose prefixes the prompts begin with. */
const DOCUMENTS = 400;
const PIECES_PER_DOCUMENT = 8;
const SEED = 41;
const NANOSECONDS_PER_MICROSECOND = 1000n;
/** Decision time that the targets of the issue allow. */
const GOAL_P99_US = 100;

/**
 * Measures the time of a choice with more and more known targets.
 *
 * @returns the exit code: 1 where the goal is missed
 */
export const runRoutingExperiment: Experiment = async () => {
	const table = new Table({head: ['targets', 'models', 'p50 µs', 'p99 µs', 'processor p50 µs', 'processor p99 µs', 'targets used']});
	const rows = TARGET_COUNTS.map(count => ({targets: count, ...measureDecisions(count)}));
	for (const row of rows) {
		table.push([row.targets, MODELS, row.p50Us, row.p99Us, row.cpuP50Us, row.cpuP99Us, row.targetsUsed]);
	}

	process.stdout.write(`${table.toString()}\n`);
	process.stdout.write(`${JSON.stringify({
		experiment: 'routing', seed: SEED, decisions: DECISIONS, models: MODELS, goalP99Us: GOAL_P99_US, rows,
	})}\n`);
	return rows.every(row => row.p99Us < GOAL_P99_US) ? 0 : 1;
};

function measureDecisions(count: number) {
	const random = createRandom(SEED);
	const instances = Array.from({length: count}, (_, index) => ({
		instanceId: `target-${index}`,
		kind: 'target' as const,
		availabilityZone: `zone-${Math.floor(index / MODELS) % ZONES}`,
		region: 'r',
		address: '127.0.0.1:1',
		state: 'live' as const,
		serviceId: 's',
		incarnation: 1,
	}));
	const membership = createMembershipState();
	mergeInstanceList(membership, instances, 'entry');
	for (let index = 0; index < count; index += 1) {
		mergeLoadReport(membership, createLoad(index, random), 0);
	}

	const routing = createRoutingState();
	const histogram = build({numberOfSignificantValueDigits: 3});
	const cpuHistogram = build({numberOfSignificantValueDigits: 3});
	const used = new Set<string>();
	for (let index = 0; index < WARM_UP_DECISIONS + DECISIONS; index += 1) {
		const demand = createDemand(random);
		const cpuBefore = process.cpuUsage();
		const startedAt = process.hrtime.bigint();
		if (index % DECISIONS_PER_CHANGE === 0) {
			routing.subsets.clear();
		}

		const options = {
			routing, membership, demand, entryId: 'entry', availabilityZone: 'zone-0', nowMs: index,
		};
		const target = chooseTarget(options)!;
		recordChoice({
			...options, target, requestId: `${index}`, attemptId: `${index}.1`,
		});
		const tookUs = (process.hrtime.bigint() - startedAt) / NANOSECONDS_PER_MICROSECOND;
		const cpu = process.cpuUsage(cpuBefore);
		endAttempt(routing, `${index - 50}.1`);
		if (index >= WARM_UP_DECISIONS) {
			histogram.recordValue(Number(tookUs));
			cpuHistogram.recordValue(cpu.user + cpu.system);
			used.add(target.targetId);
		}
	}

	return {
		p50Us: histogram.getValueAtPercentile(50),
		p99Us: histogram.getValueAtPercentile(99),
		cpuP50Us: cpuHistogram.getValueAtPercentile(50),
		cpuP99Us: cpuHistogram.getValueAtPercentile(99),
		p999Us: histogram.getValueAtPercentile(99.9),
		highestUs: histogram.maxValue,
		targetsUsed: used.size,
	};
}

/** Ends an attempt as the reducer would, so that own counts stay those of a running entry. */
function endAttempt(routing: ReturnType<typeof createRoutingState>, attemptId: string): void {
	const sent = routing.sentAttempts.get(attemptId);
	const own = sent === undefined ? undefined : routing.localLoads.get(sent.targetId);
	if (sent !== undefined && own !== undefined) {
		own.running -= 1;
		own.prefillTokens -= sent.prefillTokens;
		routing.sentAttempts.delete(attemptId);
	}
}

function createDemand(random: () => number): RoutingDemand {
	const document = Math.floor(random() * DOCUMENTS);
	return {
		serviceId: 's',
		modelId: `m${document % MODELS}`,
		promptTokens: PIECES_PER_DOCUMENT * 1000,
		maxTokens: 50,
		excludedTargetIds: new Set(),
		prefixHashes: Array.from({length: PIECES_PER_DOCUMENT}, (_, piece) => `d${document}-${piece}`),
		randomSeed: Math.floor(random() * (2 ** 32)),
		firstTokenGoalMs: 720,
		betweenTokensGoalMs: 41,
	};
}

function createLoad(index: number, random: () => number): LoadReport {
	return {
		targetId: `target-${index}`,
		role: 'mixed',
		state: 'serving',
		models: [`m${index % MODELS}`],
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
