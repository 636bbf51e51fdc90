import {type Metrics} from '@damaskspool/runtime';

/** Takes the figures of a `load.evenness` decision over into metrics. Figures without samples keep their last value. */
export function updateEvennessMetrics(metrics: Metrics, kind: string, {peakToMean, fullWhileIdle, unevenChoices}: Readonly<Record<string, unknown>>): void {
	const label = `{targets="${kind}"}`;
	metrics.count(`choices_uneven${label}`, Number(unevenChoices));
	for (const [name, figure] of [['load_peak_to_mean', peakToMean], ['load_full_while_idle', fullWhileIdle]] as const) {
		if (typeof figure === 'number') {
			metrics.setGauge(`${name}${label}`, figure);
		}
	}
}
