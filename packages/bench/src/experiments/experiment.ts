/** Runs an experiment with its command line arguments and returns the exit code. */
export type Experiment = (argv: readonly string[]) => Promise<number>;
