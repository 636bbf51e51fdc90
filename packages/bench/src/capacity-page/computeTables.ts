import {type CapacityFigures} from '../experiments/capacity.js';
import {TOKEN_REQUESTS_PER_SECOND} from '../experiments/capacityProcesses.js';
import {
	CONTROL_LIMITS, type Sizes, SIZES, STORE_LIMITS,
} from './sizes.js';

const DAY_SECONDS = 86_400;
/** Interval at which an entry reads the instance list. */
const LIST_INTERVAL_SECONDS = 1;
/** Watches of a zone, the time that each waits, and the fan-out of the tree: as in packages/core/src/configuration. */
const RELAYS_PER_ZONE = 2;
const WATCH_SECONDS = 0.7;
const FAN_OUT = 8;
const ASK_SECONDS = 0.7;
/** A question with its answer, without HTTP headers, as counted by the daemon. */
const QUESTION_BYTES = 260;
const MICROSECONDS_PER_SECOND = 1e6;
const MS_PER_SECOND = 1000;

type Row = readonly [quantity: string, traced: string, compute: (sizes: Sizes) => number, format: (value: number) => string, limit?: number];

/**
 * Computes the tables of the capacity page.
 *
 * @param figures - measured lines
 * @returns Markdown by table name
 */
export function computeTables(figures: CapacityFigures): Readonly<Record<string, string>> {
	const line = (driver: string, quantity: string) => {
		const found = figures.lines.find(one => one.driver === driver && one.quantity === quantity);
		if (found === undefined) {
			throw new Error(`no line of ${driver} and ${quantity} was measured`);
		}

		return found;
	};

	const at = (driver: string, quantity: string, x: number) => {
		const {slope, intercept} = line(driver, quantity);
		return Math.max(0, intercept + (slope * x));
	};

	const changes = ({changesPerDay}: Sizes) => changesPerDay / DAY_SECONDS;
	const perEntry = ({requestsPerSecond, entries}: Sizes) => requestsPerSecond / entries;
	const listBytes = ({entries, targets}: Sizes) => at('targets', 'listBytes', entries + targets) / LIST_INTERVAL_SECONDS;
	const tokensPerRequest = ({tokensPerSecond, requestsPerSecond}: Sizes) => tokensPerSecond / requestsPerSecond;

	const serving: Row[] = [
		['requests/s of one entry', 'sizes', perEntry, formatNumber],
		['tokens in one answer', 'sizes', tokensPerRequest, formatNumber],
		['CPU of one entry', 'tokenRate.entryCpuMs', sizes => computeServingCpu('entryCpuMs', perEntry(sizes), sizes.tokensPerSecond / sizes.entries), formatShare],
		['CPU of one sidecar', 'tokenRate.sidecarCpuMs', sizes => computeServingCpu('sidecarCpuMs', sizes.requestsPerSecond / sizes.targets, sizes.tokensPerSecond / sizes.targets), formatShare],
	];
	const control: Row[] = [
		['heap of targets known', 'targets.entryHeap', ({targets}) => at('targets', 'entryHeap', targets), formatBytes, CONTROL_LIMITS.memoryBytes],
		['heap of entries known', 'entries.entryHeap', ({entries}) => at('entries', 'entryHeap', entries), formatBytes, CONTROL_LIMITS.memoryBytes],
		['heap of the configuration', 'customers.entryHeap', ({customers}) => at('customers', 'entryHeap', customers), formatBytes, CONTROL_LIMITS.memoryBytes],
		[
			'bytes/s of configuration changes passed',
			'customers.changeBytes',
			sizes => changes(sizes) * at('customers', 'changeBytes', sizes.customers) * (1 + FAN_OUT),
			formatBytes,
			CONTROL_LIMITS.bytesPerSecond,
		],
		[
			'bytes/s of questions, as parent of a full tree',
			'fan-out, interval',
			sizes => Math.min(FAN_OUT + 1, sizes.entries / sizes.zones) * QUESTION_BYTES / ASK_SECONDS,
			formatBytes,
			CONTROL_LIMITS.bytesPerSecond,
		],
		['bytes/s of the instance list', 'targets.listBytes', listBytes, formatBytes, CONTROL_LIMITS.bytesPerSecond],
		['CPU of applying changes', 'customers.applyCpu', sizes => changes(sizes) * at('customers', 'applyCpu', sizes.customers) / MICROSECONDS_PER_SECOND, formatShare, CONTROL_LIMITS.cpuShare],
		[
			'CPU of reading the list',
			'targets.listCpu, entries.listCpu',
			({targets, entries}) => (at('targets', 'listCpu', targets) + at('entries', 'listCpu', entries)) / LIST_INTERVAL_SECONDS / MICROSECONDS_PER_SECOND,
			formatShare,
			CONTROL_LIMITS.cpuShare,
		],
		['CPU of an idle entry, everything', 'requestRate.entryCpuMs, step 0', () => line('requestRate', 'entryCpuMs').points[0]![1] / MS_PER_SECOND, formatShare, CONTROL_LIMITS.cpuShare],
	];
	const store: Row[] = [
		['watch returns/s for the configuration', 'relays, interval', ({zones, entries}) => Math.min(entries, zones * RELAYS_PER_ZONE) / WATCH_SECONDS, formatNumber, STORE_LIMITS.readsPerSecond],
		[
			'reads/s for changes',
			'relays × 2 and the proposer',
			sizes => changes(sizes) * ((Math.min(sizes.entries, sizes.zones * RELAYS_PER_ZONE) * 2) + 2),
			formatNumber,
			STORE_LIMITS.readsPerSecond,
		],
		['writes/s for changes', 'part, head, removal', sizes => changes(sizes) * 3, formatNumber, STORE_LIMITS.writesPerSecond],
		['bytes of the head', 'customers.headBytes', ({customers}) => at('customers', 'headBytes', customers), formatBytes, STORE_LIMITS.valueBytes],
		['reads to start every relay at once', '257 parts each', ({zones, entries, customers}) => Math.min(entries, zones * RELAYS_PER_ZONE) * (Math.min(customers, 256) + 2), formatNumber],
		['instance list calls/s', 'entries, interval', ({entries}) => entries / LIST_INTERVAL_SECONDS, formatNumber],
		['instance list bytes/s', 'targets.listBytes', sizes => sizes.entries * listBytes(sizes), formatBytes],
	];
	const flows: Row[] = [
		['KV cache made, bytes/s', 'the letter', ({kvBytesPerSecond}) => kvBytesPerSecond, formatBytes],
		['of it per target', 'the letter', ({kvBytesPerSecond, targets}) => kvBytesPerSecond / targets, formatBytes],
		['of it per zone', 'the letter', ({kvBytesPerSecond, zones}) => kvBytesPerSecond / zones, formatBytes],
		['carried by an entry', 'never', () => 0, formatBytes],
	];

	// Stepped at a fixed request rate: what the line has at no tokens is the cost of so many requests.
	function computeServingCpu(quantity: 'entryCpuMs' | 'sidecarCpuMs', requests: number, tokens: number): number {
		const {slope, intercept} = line('tokenRate', quantity);
		return ((requests / TOKEN_REQUESTS_PER_SECOND * intercept) + (tokens * slope)) / MS_PER_SECOND;
	}

	return {
		slopes: formatSlopes(figures), serving: formatRows(serving), control: formatRows(control), store: formatRows(store), kv: formatRows(flows), memory: formatMemory(figures),
	};
}

function formatRows(rows: readonly Row[]): string {
	const head = `| | from | ${SIZES.map(({name}) => name).join(' | ')} | limit | full is |`;
	const body = rows.map(([quantity, traced, compute, format, limit]) => {
		const cells = SIZES.map(sizes => format(compute(sizes))).join(' | ');
		const share = limit === undefined ? '' : `${(compute(SIZES.at(-1)!) / limit * 100).toPrecision(2)}% of it`;
		return `| ${quantity} | ${traced} | ${cells} | ${limit === undefined ? '' : format(limit)} | ${share} |`;
	});
	return [head, `|${' --- |'.repeat(SIZES.length + 4)}`, ...body].join('\n');
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
	const power = value < 1 ? 0 : Math.min(BYTE_UNITS.length - 1, Math.floor(Math.log10(value) / 3));
	return `${Number((value / (1000 ** power)).toPrecision(3))} ${BYTE_UNITS[power]}`;
}
