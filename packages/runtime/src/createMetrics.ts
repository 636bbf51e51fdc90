import {build, type Histogram} from 'hdr-histogram-js';

/** Counters, gauges and latency histograms of a process. */
export type Metrics = {
	/** Adds to a counter. Labels go into the name as `name{label="value"}`. */
	readonly count: (name: string, amount?: number) => void;
	/** Sets a gauge. */
	readonly setGauge: (name: string, value: number) => void;
	/** Records a duration in milliseconds. */
	readonly recordMs: (name: string, durationMs: number) => void;
	readonly histograms: ReadonlyMap<string, Histogram>;
	readonly counters: ReadonlyMap<string, number>;
	/** Writes everything in the text format of Prometheus. */
	readonly formatText: () => string;
};

/** Histograms hold microseconds, so that short times keep their digits. */
const MICROSECONDS_PER_MS = 1000;
const QUANTILES = [50, 95, 99] as const;

/**
 * Creates the metrics of a process.
 *
 * @returns empty metrics
 */
export function createMetrics(): Metrics {
	const counters = new Map<string, number>();
	const gauges = new Map<string, number>();
	const histograms = new Map<string, Histogram>();

	return {
		counters,
		histograms,
		count(name, amount = 1) {
			counters.set(name, (counters.get(name) ?? 0) + amount);
		},
		setGauge(name, value) {
			gauges.set(name, value);
		},
		recordMs(name, durationMs) {
			let histogram = histograms.get(name);
			if (histogram === undefined) {
				histogram = build({bitBucketSize: 32, numberOfSignificantValueDigits: 2, autoResize: true});
				histograms.set(name, histogram);
			}

			histogram.recordValue(Math.max(0, Math.round(durationMs * MICROSECONDS_PER_MS)));
		},
		formatText() {
			const lines = [...counters, ...gauges].map(([name, value]) => `damaskspool_${name} ${value}`);
			for (const [name, histogram] of histograms) {
				for (const quantile of QUANTILES) {
					const value = histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS;
					lines.push(`damaskspool_${name}_ms{quantile="0.${quantile}"} ${value}`);
				}

				lines.push(`damaskspool_${name}_ms_count ${histogram.totalCount}`);
			}

			return `${lines.join('\n')}\n`;
		},
	};
}
