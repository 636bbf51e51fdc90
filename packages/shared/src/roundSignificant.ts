const DEFAULT_DIGITS = 4;

/** Rounds a figure to significant digits. In reports and log lines each digit costs a byte. */
export function roundSignificant(value: number, digits = DEFAULT_DIGITS): number {
	return Number(value.toPrecision(digits));
}
