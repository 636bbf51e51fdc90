// Roarr reads this variable once, when it is imported.
process.env.ROARR_LOG ??= 'true';
const {Roarr, ROARR} = await import('roarr');

/** Writes one JSON line a call to standard output. Context must never hold an API key. */
export type Logger = {
	readonly debug: (message: string, context?: LogContext) => void;
	readonly info: (message: string, context?: LogContext) => void;
	readonly warn: (message: string, context?: LogContext) => void;
	readonly error: (message: string, context?: LogContext) => void;
};

/** Plain values that go with a log line. */
export type LogContext = Readonly<Record<string, unknown>>;

/** Names of log levels, least severe first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = typeof LOG_LEVELS[number];

/** Options of {@link createLogger}. */
export type LoggerOptions = {
	readonly program: string;
	readonly instanceId: string;
	readonly level?: LogLevel;
};

/**
 * Sets where the lines of all loggers of this process go.
 *
 * @param write - takes a line without its end
 */
export function setLogWriter(write: (line: string) => void): void {
	ROARR.write = write;
}

/**
 * Creates the logger of a process.
 *
 * @param options - what each line carries, and the least severe level that is written
 * @returns the logger
 */
export function createLogger(options: LoggerOptions): Logger {
	const {program, instanceId, level = 'info'} = options;
	const roarr = Roarr.child({program, instanceId});
	const minLevelIndex = LOG_LEVELS.indexOf(level);
	const createLogMethod = (name: LogLevel) => (message: string, context: LogContext = {}) => {
		if (LOG_LEVELS.indexOf(name) >= minLevelIndex) {
			// Roarr leaves undefined fields out and calls `toJSON` when it writes the line.
			roarr[name](context as Record<string, string>, message);
		}
	};

	return {
		debug: createLogMethod('debug'),
		info: createLogMethod('info'),
		warn: createLogMethod('warn'),
		error: createLogMethod('error'),
	};
}
