/**
 * Learns a positive figure from samples of which a part is far too high or too low: a wait that was not noticed adds to a measured
 * time, a prompt part that was cached without the knowledge of the entry shortens it. It is made for targets whose speed is steady for
 * long and changes at once. The figure is the median of the latest samples.
 */

/** A figure and how certain it is. */
export type LearnedFigure = {
	/** Natural logarithm of the figure, so that twice and half are equally far from it. */
	logValue: number;
	/** How certain the figure is: zero for the guess with which it begins, one if it is out of use, and more with each sample up to {@link MAX_SAMPLES}. */
	weight: number;
	/** Logarithms of the latest samples, the newest last. */
	readonly samples: number[];
};

/** Weight of a figure without samples that was learned earlier. */
const UNUSED_WEIGHT = 1;
/** Samples from which the figure is taken. */
const MAX_SAMPLES = 15;
/** Samples in a row that replace all earlier ones if they are far from the figure on one side. */
const SHIFT_SAMPLES = 4;
/** Logarithm of the ratio from which a sample is far from the figure. */
const SHIFT_DISTANCE = Math.log(1.5);
/** Limits of a sample. What lies beyond is not a speed but a fault. */
const MIN_SAMPLE = 1e-3;
const MAX_SAMPLE = 1e5;

/** Creates a figure that begins with a guess, which the first sample replaces. */
export function createLearnedFigure(firstGuess: number): LearnedFigure {
	return {logValue: Math.log(firstGuess), weight: 0, samples: []};
}

/** Returns the present value of a figure. */
export function getLearnedValue({logValue}: LearnedFigure): number {
	return Math.exp(logValue);
}

/** Returns whether a figure was ever learned from a sample. */
export function isLearned({weight}: LearnedFigure): boolean {
	return weight > 0;
}

/** Moves a figure towards a value by a share of the difference, and drops its samples. Changes the figure in place. */
export function updateUnused(figure: LearnedFigure, value: number, share: number): void {
	figure.logValue += share * (Math.log(value) - figure.logValue);
	figure.weight = UNUSED_WEIGHT;
	figure.samples.length = 0;
}

/**
 * Records a sample. Values that are not positive numbers are ignored, and extreme ones are limited.
 *
 * @param figure - changed in place
 */
export function recordSample(figure: LearnedFigure, sample: number): void {
	if (!(sample > 0)) {
		return;
	}

	const {samples} = figure;
	samples.push(Math.log(Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, sample))));
	const latest = samples.slice(-SHIFT_SAMPLES);
	const isShifted = latest.length === SHIFT_SAMPLES
		&& (latest.every(logSample => logSample - figure.logValue > SHIFT_DISTANCE) || latest.every(logSample => figure.logValue - logSample > SHIFT_DISTANCE));
	samples.splice(0, samples.length - (isShifted ? SHIFT_SAMPLES : MAX_SAMPLES));
	figure.logValue = pickMedian(samples);
	figure.weight = UNUSED_WEIGHT + samples.length;
}

/** Picks the median of at least one value, the lower one of two: a wait that was not noticed only adds to a sample. */
export function pickMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
