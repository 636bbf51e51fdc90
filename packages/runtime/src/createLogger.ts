// Roarr reads this variable only once, at import.
process.env.ROARR_LOG ??= 'true';
const {Roarr, ROARR} = await import('roarr');

/** Writes one JSON line per call. The context must never contain an API key. */
export type Logger = {
	readonly debug: (message: string, context?: LogContext) => void;
	readonly info: (message: string, context?: LogContext) => void;
	readonly warn: (message: string, context?: LogContext) => void;
	readonly error: (message: string, context?: LogContext) => void;
};

/** Values that are added to a log line. */
export type LogContext = Readonly<Record<string, unknown>>;

/** Log levels in ascending severity. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = typeof LOG_LEVELS[number];

/** Options of {@link createLogger}. */
export type LoggerOptions = {
	/** Name of the program, added to each line. */
	readonly program: string;
	/** Identifier of the instance, added to each line. */
	readonly instanceId: string;
	/** Minimum level that is written. Defaults to `info`. */
	readonly level?: LogLevel;
};

/**
 * Sets the output of all loggers of this process.
 *
 * @param write - called with each line, without its line break
 */
export function setLogWriter(write: (line: string) => void): void {
	ROARR.write = write;
}

/** Creates a logger that writes to standard output, or to the writer set with {@link setLogWriter}. */
export function createLogger(options: LoggerOptions): Logger {
	const {program, instanceId, level = 'info'} = options;
	const roarr = Roarr.child({program, instanceId});
	const minLevelIndex = LOG_LEVELS.indexOf(level);
	const createLogMethod = (name: LogLevel) => (message: string, context: LogContext = {}) => {
		if (LOG_LEVELS.indexOf(name) >= minLevelIndex) {
			// Roarr omits undefined fields and calls `toJSON` when it writes the line.
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
