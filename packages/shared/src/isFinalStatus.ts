/** Lowest and highest status of an answer that is not an interim one. HTTP has no status beyond them. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Returns whether a status can be that of an answer. A target in trouble may send any three digits. */
export function isFinalStatus(status: number): boolean {
	return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}
