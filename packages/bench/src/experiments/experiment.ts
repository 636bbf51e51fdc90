/** An experiment: takes its own arguments and returns the exit code. */
export type Experiment = (argv: readonly string[]) => Promise<number>;
