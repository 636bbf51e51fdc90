/** Passing histograms between processes, so that quantiles are of all requests and not means of quantiles. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** Histograms hold microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Quantiles of one measure over several processes. */
export type Latency = {
	readonly measure: string;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	readonly count: number;
};

/**
 * Writes a histogram as text.
 *
 * @param histogram - the histogram
 * @returns base64 of its compressed form
 */
export function toHistogramText(histogram: Histogram): string {
	return encodeIntoCompressedBase64(histogram);
}

/**
 * Adds up the histograms of several processes.
 *
 * @param processes - text of each histogram by measure, for each process
 * @returns quantiles in milliseconds by measure; text that is no histogram is left out
 */
export function mergeHistograms(processes: ReadonlyArray<Readonly<Record<string, string>>>): Latency[] {
	const measures = [...new Set(processes.flatMap(histograms => Object.keys(histograms)))];
	return measures.map(measure => {
		const sum = build({bitBucketSize: 32, numberOfSignificantValueDigits: 2, autoResize: true});
		for (const histograms of processes) {
			mergeHistogram(sum, histograms[measure]);
		}

		const read = (quantile: number) => sum.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS;
		return {
			measure, p50: read(50), p95: read(95), p99: read(99), count: sum.totalCount,
		};
	});
}

function mergeHistogram(sum: Histogram, text: string | undefined): void {
	if (text === undefined) {
		return;
	}

	try {
		sum.add(decodeFromCompressedBase64(text));
	} catch {
		// A peer of another version may write histograms in another form; the rest still count.
	}
}
