/** Bounds of the slices that are parsed of what was read of a connection. */
export type SliceBounds = {
	readonly minBytes: number;
	/** Most by which a slice is longer than the one before: what follows may cost more than what came before. */
	readonly maxGrowth: number;
};

/** Longest slice: all that a socket reads at once. */
const MAX_SLICE_BYTES = 65_536;
/** Time for a slice, by which its length is chosen. */
const SLICE_MS = 0.2;

/** Computes the length of the slice after one of `bytes` that took `workMs`. */
export function computeSliceBytes({bytes, workMs}: {readonly bytes: number; readonly workMs: number}, {minBytes, maxGrowth}: SliceBounds): number {
	return Math.min(MAX_SLICE_BYTES, Math.max(minBytes, Math.floor(bytes * Math.min(maxGrowth, SLICE_MS / workMs))));
}
