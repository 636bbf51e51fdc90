import {mkdir, writeFile} from 'node:fs/promises';
import process from 'node:process';
import Table from 'cli-table3';
import {Cli, Command, Option} from 'clipanion';
import {mean, standardDeviation} from 'simple-statistics';
import {type Experiment} from './experiment.js';
import {TRACES} from './shift/createShiftTraffic.js';
import {plotShift} from './shift/plotShift.js';
import {runChildren, type ShiftResult} from './shift/runChildren.js';
import {
	ABLATION_POLICIES, BETWEEN_TOKENS_GOAL_MS, DEFAULT_POLICIES, FIRST_TOKEN_GOAL_MS, REQUEST_SCALE, RUN_MS, SHIFT_ENGINE, SHIFT_FAULTS,
	SHIFT_POLICIES, type ShiftFault, type ShiftPolicyName, TIME_SCALE,
} from './shift/shiftSettings.js';
import {type ShiftSummary} from './shift/summarizeShift.js';

/** Each run starts about a dozen processes. Their total stays below 60. */
const MAX_CONCURRENT_RUNS = 3;

/** Columns of the table, by heading. */
const FIGURES = {
	'good share': summary => summary.goodShare,
	'good/s': summary => summary.goodput,
	'TTFT p95 ms': summary => summary.firstTokenP95Ms,
	'TBT p95 ms': summary => summary.betweenTokensP95Ms,
	'changes/target/10 min': summary => summary.roleChangesPerTarget,
	'worst customer': summary => summary.worstCustomerShare,
	'prefix hits': summary => summary.hitRatio,
	'target s/good': summary => summary.targetSecondsPerGood,
} as const satisfies Readonly<Record<string, (summary: ShiftSummary) => number>>;

class ShiftCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({description: 'Compares policies while the mix of long and short prompts changes.'});

	deployment = Option.String('--deployment', Object.keys(TRACES).join(','));
	policies = Option.String('--policies', DEFAULT_POLICIES.join(','), {description: `any of ${Object.keys(SHIFT_POLICIES).join(', ')}`});
	ablations = Option.Boolean('--ablations', false, {description: 'compares policy ours with variants that each lack one part'});
	seeds = Option.String('--seeds', '1,2,3');
	fault = Option.String('--fault', 'none', {description: SHIFT_FAULTS.join(', ')});

	override async execute(): Promise<number> {
		const deployments = this.deployment.split(',');
		const policies = (this.ablations ? [...ABLATION_POLICIES] : this.policies.split(',')) as ShiftPolicyName[];
		const fault = this.fault as ShiftFault;
		const isKnown = deployments.every(name => name in TRACES) && policies.every(name => name in SHIFT_POLICIES) && SHIFT_FAULTS.includes(fault);
		if (!isKnown) {
			this.context.stderr.write('unknown deployment, policy or fault; see --help\n');
			return 2;
		}

		const seeds = this.seeds.split(',').map(Number);
		// Runs of the same seed are adjacent and overlap in time, so that other load on the machine affects all policies alike.
		const runs = deployments.flatMap(deployment => seeds.flatMap(seed => policies.map(policy => ({
			deployment, policy, seed, fault,
		}))));
		const results = await runChildren(runs, MAX_CONCURRENT_RUNS);
		for (const deployment of deployments) {
			await this.report(deployment, policies, results.filter(result => result.deployment === deployment));
		}

		this.context.stdout.write(`${JSON.stringify({
			experiment: 'shift',
			settings: {
				seeds,
				fault,
				timeScale: TIME_SCALE,
				requestScale: REQUEST_SCALE,
				runMs: RUN_MS,
				firstTokenGoalMs: FIRST_TOKEN_GOAL_MS,
				betweenTokensGoalMs: BETWEEN_TOKENS_GOAL_MS,
				engine: SHIFT_ENGINE,
			},
			runs: results.map(({summary: {goodBySecond: _good, sentBySecond: _sent, roles: _roles, ...summary}, ...run}) => ({...run, ...summary})),
		})}\n`);
		return 0;
	}

	private async report(deployment: string, policies: readonly ShiftPolicyName[], results: readonly ShiftResult[]): Promise<void> {
		const table = new Table({head: [deployment, ...Object.keys(FIGURES)]});
		for (const policy of policies) {
			const summaries = results.filter(result => result.policy === policy).map(result => result.summary);
			table.push([policy, ...Object.values(FIGURES).map(getValue => formatMeanAndDeviation(summaries.map(summary => getValue(summary))))]);
		}

		await mkdir('out', {recursive: true});
		const file = `out/shift-${deployment}-${this.fault}.svg`;
		await writeFile(file, plotShift(results));
		this.context.stdout.write(`${table.toString()}\nmean ± standard deviation over seeds; plot in ${file}\n`);
	}
}

function formatMeanAndDeviation(values: readonly number[]): string {
	const digits = mean([...values]) >= 10 ? 0 : 2;
	return `${mean([...values]).toFixed(digits)} ± ${standardDeviation([...values]).toFixed(digits)}`;
}

/**
 * Runs experiment `shift`: compares policies on real entries and sidecars while the mix of long and short prompts changes.
 *
 * @param argv - command line options; see `--help`
 * @returns exit code: 2 if a deployment, policy or fault is unknown
 */
export const runShiftExperiment: Experiment = async argv => {
	const cli = new Cli({binaryLabel: 'shift', binaryName: 'npm run bench -- shift'});
	cli.register(ShiftCommand);
	return cli.run([...argv], {stdin: process.stdin, stdout: process.stdout, stderr: process.stderr});
};
