/** Transfers histograms between processes. Merged histograms give quantiles over all requests instead of averages of quantiles. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** Histogram values are in microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Latency quantiles of a measure over several processes, in milliseconds. */
export type LatencyQuantiles = {
	readonly measure: string;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	/** Number of recorded values. */
	readonly count: number;
};

/** Encodes a histogram as base64 of its compressed form. */
export function encodeHistogram(histogram: Histogram): string {
	return encodeIntoCompressedBase64(histogram);
}

/**
 * Merges the histograms of several processes and computes their quantiles.
 * Ignores text that is not an encoded histogram.
 *
 * @param histogramsByProcess - for each process, its encoded histograms by measure
 * @returns one item for each measure
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
		// A peer that runs another version may use another encoding. The other histograms still count.
	}
}
