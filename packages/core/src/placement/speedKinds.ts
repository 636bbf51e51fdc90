/** Learned figures of a target that samples are about. */
export const SPEED_KINDS = {prefill: 0, fixed: 1} as const;

/** One of {@link SPEED_KINDS}. */
export type SpeedKind = typeof SPEED_KINDS[keyof typeof SPEED_KINDS];
