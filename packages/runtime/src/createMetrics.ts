import {build, type Histogram} from 'hdr-histogram-js';

/** Counters, gauges and latency histograms of a process. */
export type Metrics = {
	/** Increments a counter by `amount`, 1 by default. Labels are part of the name: `name{label="value"}`. */
	readonly count: (name: string, amount?: number) => void;
	/** Sets a gauge. */
	readonly setGauge: (name: string, value: number) => void;
	/** Records a duration in the latency histogram of that name. */
	readonly recordMs: (name: string, durationMs: number) => void;
	/** Histograms by name. Their values are in microseconds. */
	readonly histograms: ReadonlyMap<string, Histogram>;
	/** Counter values by name, with labels. */
	readonly counters: ReadonlyMap<string, number>;
	/** Returns all metrics in the Prometheus text format. Each histogram is exported as quantiles in milliseconds and a count. */
	readonly formatText: () => string;
};

/** Histograms store integers. Microseconds preserve the precision of short durations. */
const MICROSECONDS_PER_MS = 1000;
const QUANTILES = [50, 95, 99] as const;

/** Creates empty metrics. */
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
