import {type CapacityFigures} from '../experiments/capacity.js';
import {TOKEN_REQUESTS_PER_SECOND} from '../experiments/measureProcessCapacity.js';
import {
	CONTROL_PLANE_LIMITS, type DeploymentSize, DEPLOYMENT_SIZES, STORE_LIMITS,
} from './deploymentSizes.js';

const DAY_SECONDS = 86_400;
/** Interval at which an entry requests the instance list. */
const LIST_INTERVAL_SECONDS = 1;
// These values repeat those of configuration propagation in packages/core/src/configuration: relays that watch the store,
// duration of a watch, fan-out of the relay tree, and interval at which an entry queries a peer.
const RELAYS_PER_ZONE = 2;
const WATCH_INTERVAL_SECONDS = 0.7;
const FAN_OUT = 8;
const QUERY_INTERVAL_SECONDS = 0.7;
/** Size of a configuration query and its response without HTTP headers, as the daemon counts it. */
const QUERY_BYTES = 260;
const MICROSECONDS_PER_SECOND = 1e6;
const MS_PER_SECOND = 1000;

/**
 * Row of a table. `traced` names the measured line, size or constant from which the value follows; `limit` is in the unit
 * of the value.
 */
type Row = readonly [quantity: string, traced: string, compute: (size: DeploymentSize) => number, format: (value: number) => string, limit?: number];

/**
 * Computes the tables of the capacity page for {@link DEPLOYMENT_SIZES}.
 *
 * @returns Markdown by table name
 * @throws {Error} if the figures lack a line that a table needs
 */
export function computeTables(figures: CapacityFigures): Readonly<Record<string, string>> {
	const findLine = (driver: string, quantity: string) => {
		const found = figures.lines.find(candidate => candidate.driver === driver && candidate.quantity === quantity);
		if (found === undefined) {
			throw new Error(`the capacity figures have no line ${driver}.${quantity}`);
		}

		return found;
	};

	const estimateAt = (driver: string, quantity: string, x: number) => {
		const {slope, intercept} = findLine(driver, quantity);
		return Math.max(0, intercept + (slope * x));
	};

	const computeChangesPerSecond = ({changesPerDay}: DeploymentSize) => changesPerDay / DAY_SECONDS;
	const computeRequestsPerEntry = ({requestsPerSecond, entries}: DeploymentSize) => requestsPerSecond / entries;
	const computeListBytesPerSecond = ({entries, targets}: DeploymentSize) => estimateAt('targets', 'listBytes', entries + targets) / LIST_INTERVAL_SECONDS;
	const computeTokensPerRequest = ({tokensPerSecond, requestsPerSecond}: DeploymentSize) => tokensPerSecond / requestsPerSecond;

	const servingRows: Row[] = [
		['requests/s of one entry', 'sizes', computeRequestsPerEntry, formatNumber],
		['tokens in one answer', 'sizes', computeTokensPerRequest, formatNumber],
		['CPU of one entry', 'tokenRate.entryCpuMs', size => computeServingCpu('entryCpuMs', computeRequestsPerEntry(size), size.tokensPerSecond / size.entries), formatShare],
		['CPU of one sidecar', 'tokenRate.sidecarCpuMs', size => computeServingCpu('sidecarCpuMs', size.requestsPerSecond / size.targets, size.tokensPerSecond / size.targets), formatShare],
	];
	const controlRows: Row[] = [
		['heap of targets known', 'targets.entryHeap', ({targets}) => estimateAt('targets', 'entryHeap', targets), formatBytes, CONTROL_PLANE_LIMITS.memoryBytes],
		['heap of entries known', 'entries.entryHeap', ({entries}) => estimateAt('entries', 'entryHeap', entries), formatBytes, CONTROL_PLANE_LIMITS.memoryBytes],
		['heap of the configuration', 'customers.entryHeap', ({customers}) => estimateAt('customers', 'entryHeap', customers), formatBytes, CONTROL_PLANE_LIMITS.memoryBytes],
		[
			'bytes/s of configuration changes passed',
			'customers.changeBytes',
			size => computeChangesPerSecond(size) * estimateAt('customers', 'changeBytes', size.customers) * (1 + FAN_OUT),
			formatBytes,
			CONTROL_PLANE_LIMITS.bytesPerSecond,
		],
		[
			'bytes/s of questions, as parent of a full tree',
			'fan-out, interval',
			size => Math.min(FAN_OUT + 1, size.entries / size.zones) * QUERY_BYTES / QUERY_INTERVAL_SECONDS,
			formatBytes,
			CONTROL_PLANE_LIMITS.bytesPerSecond,
		],
		['bytes/s of the instance list', 'targets.listBytes', computeListBytesPerSecond, formatBytes, CONTROL_PLANE_LIMITS.bytesPerSecond],
		[
			'CPU of applying changes',
			'customers.applyCpu',
			size => computeChangesPerSecond(size) * estimateAt('customers', 'applyCpu', size.customers) / MICROSECONDS_PER_SECOND,
			formatShare,
			CONTROL_PLANE_LIMITS.cpuShare,
		],
		[
			'CPU of reading the list',
			'targets.listCpu, entries.listCpu',
			({targets, entries}) => (estimateAt('targets', 'listCpu', targets) + estimateAt('entries', 'listCpu', entries)) / LIST_INTERVAL_SECONDS / MICROSECONDS_PER_SECOND,
			formatShare,
			CONTROL_PLANE_LIMITS.cpuShare,
		],
		['CPU of an idle entry, everything', 'requestRate.entryCpuMs, step 0', () => findLine('requestRate', 'entryCpuMs').points[0]![1] / MS_PER_SECOND, formatShare, CONTROL_PLANE_LIMITS.cpuShare],
	];
	const storeRows: Row[] = [
		[
			'watch returns/s for the configuration',
			'relays, interval',
			({zones, entries}) => Math.min(entries, zones * RELAYS_PER_ZONE) / WATCH_INTERVAL_SECONDS,
			formatNumber,
			STORE_LIMITS.readsPerSecond,
		],
		[
			'reads/s for changes',
			'relays × 2 and the proposer',
			size => computeChangesPerSecond(size) * ((Math.min(size.entries, size.zones * RELAYS_PER_ZONE) * 2) + 2),
			formatNumber,
			STORE_LIMITS.readsPerSecond,
		],
		['writes/s for changes', 'part, head, removal', size => computeChangesPerSecond(size) * 3, formatNumber, STORE_LIMITS.writesPerSecond],
		['bytes of the head', 'customers.headBytes', ({customers}) => estimateAt('customers', 'headBytes', customers), formatBytes, STORE_LIMITS.valueBytes],
		['reads to start every relay at once', '257 parts each', ({zones, entries, customers}) => Math.min(entries, zones * RELAYS_PER_ZONE) * (Math.min(customers, 256) + 2), formatNumber],
		['instance list calls/s', 'entries, interval', ({entries}) => entries / LIST_INTERVAL_SECONDS, formatNumber],
		['instance list bytes/s', 'targets.listBytes', size => size.entries * computeListBytesPerSecond(size), formatBytes],
	];
	const kvCacheRows: Row[] = [
		['KV cache made, bytes/s', 'the letter', ({kvBytesPerSecond}) => kvBytesPerSecond, formatBytes],
		['of it per target', 'the letter', ({kvBytesPerSecond, targets}) => kvBytesPerSecond / targets, formatBytes],
		['of it per zone', 'the letter', ({kvBytesPerSecond, zones}) => kvBytesPerSecond / zones, formatBytes],
		['carried by an entry', 'never', () => 0, formatBytes],
	];

	// The token rate was varied at a fixed request rate, so the intercept is the cost of that many requests without tokens.
	function computeServingCpu(quantity: 'entryCpuMs' | 'sidecarCpuMs', requestsPerSecond: number, tokensPerSecond: number): number {
		const {slope, intercept} = findLine('tokenRate', quantity);
		return ((requestsPerSecond / TOKEN_REQUESTS_PER_SECOND * intercept) + (tokensPerSecond * slope)) / MS_PER_SECOND;
	}

	return {
		slopes: formatSlopes(figures), serving: formatRows(servingRows), control: formatRows(controlRows), store: formatRows(storeRows), kv: formatRows(kvCacheRows), memory: formatMemory(figures),
	};
}

function formatRows(rows: readonly Row[]): string {
	const head = `| | from | ${DEPLOYMENT_SIZES.map(({name}) => name).join(' | ')} | limit | full is |`;
	const body = rows.map(([quantity, source, compute, format, limit]) => {
		const cells = DEPLOYMENT_SIZES.map(size => format(compute(size))).join(' | ');
		const share = limit === undefined ? '' : `${(compute(DEPLOYMENT_SIZES.at(-1)!) / limit * 100).toPrecision(2)}% of it`;
		return `| ${quantity} | ${source} | ${cells} | ${limit === undefined ? '' : format(limit)} | ${share} |`;
	});
	return [head, `|${' --- |'.repeat(DEPLOYMENT_SIZES.length + 4)}`, ...body].join('\n');
}

function formatSlopes({lines, machine, revision}: CapacityFigures): string {
	const rows = lines.map(({driver, quantity, unit, points, slope, slopeError, intercept, rSquared}) =>
		`| ${driver}.${quantity} | ${unit} | ${points.map(([x]) => x).join(', ')} | ${slope} | ${slopeError} | ${intercept} | ${rSquared} |`);
	return [
		`Measured at ${revision} on ${machine.processors} processors (${machine.model}), Node.js ${machine.node}, load average ${machine.loadAverage} at the start.`,
		'',
		'| line | unit | steps | slope | ± | intercept | R² |',
		'| --- | --- | --- | --- | --- | --- | --- |',
		...rows,
	].join('\n');
}

function formatMemory({residentBytes}: CapacityFigures): string {
	return [
		'| process | resident |',
		'| --- | --- |',
		`| Node.js with nothing loaded | ${formatBytes(residentBytes.bareNode)} |`,
		`| entry with 6,700 customers | ${formatBytes(residentBytes.entry)} |`,
		`| sidecar | ${formatBytes(residentBytes.sidecar)} |`,
	].join('\n');
}

function formatNumber(value: number): string {
	return Number(value.toPrecision(3)).toLocaleString('en-US', {maximumFractionDigits: 3});
}

function formatShare(value: number): string {
	return `${Number((value * 100).toPrecision(3))}%`;
}

const BYTE_UNITS = ['B', 'kB', 'MB', 'GB', 'TB'] as const;

function formatBytes(value: number): string {
	const unitIndex = value < 1 ? 0 : Math.min(BYTE_UNITS.length - 1, Math.floor(Math.log10(value) / 3));
	return `${Number((value / (1000 ** unitIndex)).toPrecision(3))} ${BYTE_UNITS[unitIndex]}`;
}
