/** Program of `npm run demo`: starts a deployment on loopback, sends it its traffic, and prints the results that callers observed. */
import path from 'node:path';
import process from 'node:process';
import cliProgress from 'cli-progress';
import Table from 'cli-table3';
import {
	Builtins, Cli, Command, Option,
} from 'clipanion';
import {build} from 'hdr-histogram-js';
import {readDeployment} from './harness/deploymentFile.js';
import {startDeployment} from './harness/startDeployment.js';
import {createTraffic} from './load/createTraffic.js';
import {runTraffic} from './load/runTraffic.js';
import {type RequestResult} from './load/sendPlannedRequest.js';
import {hasNoViolations, summarizeResults} from './load/summarizeResults.js';

const DEPLOYMENTS = ['idranti', 'odalaigh'];
const MAX_SECONDS = 600;
/** Exit code of a program ended by SIGINT, by shell convention. */
const EXIT_INTERRUPTED = 130;

class DemoCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Runs a deployment on loopback under its own load.',
		examples: [['Twenty seconds of Idranti', 'npm run demo -- --deployment idranti --seconds 20']],
	});

	deployment = Option.String('--deployment', 'idranti', {description: DEPLOYMENTS.join(' or ')});
	seconds = Option.String('--seconds', '20', {description: 'length of the load'});
	seed = Option.String('--seed', '1', {description: 'seed of the arrivals'});

	override async execute(): Promise<number> {
		const seconds = Number(this.seconds);
		if (!DEPLOYMENTS.includes(this.deployment) || !(seconds > 0 && seconds <= MAX_SECONDS)) {
			this.context.stderr.write(`expected --deployment ${DEPLOYMENTS.join('|')} and --seconds from 1 to ${MAX_SECONDS}\n`);
			return 2;
		}

		const abortController = new AbortController();
		process.once('SIGINT', () => {
			abortController.abort();
		});
		process.once('SIGTERM', () => {
			abortController.abort();
		});
		try {
			return await runDemo({
				directory: path.resolve('examples', this.deployment), durationMs: seconds * 1000, seed: Number(this.seed), signal: abortController.signal,
			});
		} catch (error) {
			// The signal also reaches the daemons, so a deployment that is still starting fails. Its daemons have already been stopped here.
			if (!abortController.signal.aborted) {
				throw error;
			}

			this.context.stderr.write('stopped before the deployment had started\n');
			return EXIT_INTERRUPTED;
		}
	}
}

type DemoOptions = {
	readonly directory: string;
	readonly durationMs: number;
	readonly seed: number;
	readonly signal: AbortSignal;
};

async function runDemo({directory, durationMs, seed, signal}: DemoOptions): Promise<number> {
	const deployment = await readDeployment(directory);
	const progress = new cliProgress.SingleBar({format: '{stage} [{bar}] {value}/{total}', noTTYOutput: false});
	let isProgressShown = false;
	const running = await startDeployment({
		deployment,
		onProgress(started, total) {
			if (!isProgressShown) {
				progress.start(total, 0, {stage: 'processes'});
				isProgressShown = true;
			}

			progress.update(started);
		},
	});
	const planned = createTraffic({file: deployment.file, durationMs, seed});
	progress.start(planned.length, 0, {stage: 'requests '});
	const results = await runTraffic({
		planned,
		addresses: running.entries.map(entry => entry.addresses.listen!),
		keys: running.keys,
		signal,
		onResult() {
			progress.increment();
		},
	});
	progress.stop();
	const summary = summarizeResults(results, running.targets.map(target => target.standIn));
	const codes = await running.stop();
	console.log(formatTable(results));
	const failedExits = codes.filter(code => code !== 0).length;
	console.log(JSON.stringify({
		...summary, failedExits, deployment: deployment.file.name, seed,
	}));
	return hasNoViolations(summary) && failedExits === 0 ? 0 : 1;
}

function formatTable(results: readonly RequestResult[]): string {
	const table = new Table({head: ['request', 'sent', 'answered', 'first byte p50', 'p95', 'whole p50', 'p95 (ms)'], style: {head: [], border: []}});
	for (const name of new Set(results.map(result => result.request.trafficClass.name))) {
		const resultsOfClass = results.filter(result => result.request.trafficClass.name === name);
		const answered = resultsOfClass.filter(result => result.outcome === 'answered');
		const firstByte = createHistogram(answered.map(result => result.firstByteMs));
		const total = createHistogram(answered.map(result => result.totalMs));
		const cells = [firstByte, total].flatMap(histogram => [50, 95].map(quantile => histogram.getValueAtPercentile(quantile)));
		table.push([name, resultsOfClass.length, answered.length, ...cells]);
	}

	return table.toString();
}

function createHistogram(valuesMs: readonly number[]) {
	const histogram = build({numberOfSignificantValueDigits: 2});
	for (const value of valuesMs) {
		histogram.recordValue(Math.round(value));
	}

	return histogram;
}

const cli = new Cli({binaryLabel: 'damaskspool demo', binaryName: 'npm run demo --'});
cli.register(DemoCommand);
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
