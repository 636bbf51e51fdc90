/** Passing histograms between processes, so that quantiles are of all requests and not means of quantiles. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** Histograms hold microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Quantiles of one measure over several processes. */
export type LatencyQuantiles = {
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
export function encodeHistogram(histogram: Histogram): string {
	return encodeIntoCompressedBase64(histogram);
}

/**
 * Adds up the histograms of several processes.
 *
 * @param histogramsByProcess - text of each histogram by measure, for each process
 * @returns quantiles in milliseconds by measure; text that is no histogram is left out
 */
export function mergeHistograms(histogramsByProcess: ReadonlyArray<Readonly<Record<string, string>>>): LatencyQuantiles[] {
	const measures = [...new Set(histogramsByProcess.flatMap(histograms => Object.keys(histograms)))];
	return measures.map(measure => {
		const merged = build({bitBucketSize: 32, numberOfSignificantValueDigits: 2, autoResize: true});
		for (const histograms of histogramsByProcess) {
			mergeHistogram(merged, histograms[measure]);
		}

		const readQuantileMs = (quantile: number) => merged.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS;
		return {
			measure, p50: readQuantileMs(50), p95: readQuantileMs(95), p99: readQuantileMs(99), count: merged.totalCount,
		};
	});
}

function mergeHistogram(merged: Histogram, text: string | undefined): void {
	if (text === undefined) {
		return;
	}

	try {
		merged.add(decodeFromCompressedBase64(text));
	} catch {
		// A peer of another version may write histograms in another form; the rest still count.
	}
}
