import {type z} from 'zod';
import {type DeploymentPorts, type Logger} from '@damaskspool/runtime';
import {ERROR_CODES, formatContentIssues} from '@damaskspool/shared';
import {createMalformedLog} from './createMalformedLog.js';

/** Options of {@link createKeptObject}. */
export type KeptObjectOptions<Value> = {
	readonly store: DeploymentPorts['store'];
	readonly kind: string;
	readonly name: string;
	readonly schema: z.ZodType<Value>;
	readonly logger: Logger;
	/** Beginning of the names of log lines. */
	readonly logName: string;
};

/** An object in the store that outlasts entries. */
export type KeptObject<Value> = {
	/** Reads the object. `stored` is undefined if it does not exist (version zero) or is malformed. */
	readonly read: () => Promise<{readonly kind: 'read'; readonly version: number; readonly stored: Value | undefined} | {readonly kind: 'failed'}>;
	/** Writes the object if it has the expected version. A write with an unknown outcome may still take effect. */
	readonly write: (stored: Value, expectedVersion: number) => Promise<{readonly kind: 'written'; readonly version: number; readonly stored: Value} | {readonly kind: 'conflict' | 'unknown'}>;
};

/** Creates the calls for one object of the store. */
export function createKeptObject<Value>({store, kind, name, schema, logger, logName}: KeptObjectOptions<Value>): KeptObject<Value> {
	const malformedObject = createMalformedLog({
		write(context) {
			logger.error(`${logName}.malformed`, context);
		},
	});

	return {
		async read() {
			const reply = await store.read(kind, name);
			if (reply.err) {
				return {kind: 'failed'};
			}

			const parsed = reply.val === undefined ? undefined : schema.safeParse(reply.val.value);
			if (parsed?.success === false) {
				malformedObject.record({name, detail: formatContentIssues(parsed.error)});
			} else {
				malformedObject.clear(name);
			}

			return {kind: 'read', version: reply.val?.version ?? 0, stored: parsed?.data};
		},
		async write(stored, expectedVersion) {
			const reply = await store.write(kind, name, stored, expectedVersion);
			if (reply.ok) {
				return {kind: 'written', version: reply.val, stored};
			}

			if (reply.val.code === ERROR_CODES.versionConflict) {
				return {kind: 'conflict'};
			}

			logger.warn(`${logName}.writeFailed`, {detail: reply.val.message, expectedVersion});
			return {kind: 'unknown'};
		},
	};
}
