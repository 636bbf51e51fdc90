import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {Pool} from 'undici';
import {
	createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/** An object of the platform's object API. */
export type StoredObject<Value = unknown> = {
	readonly key: string;
	/** Rises with each change of any object; zero where the object does not exist. */
	readonly version: number;
	readonly value: Value;
};

/** What a watch saw. */
export type WatchReply = {
	/** Version up to which the watch has seen everything. */
	readonly version: number;
	readonly changes: readonly StoredObject[];
};

/** The calls of the platform's object API that the system uses. Every failure is a value. */
export type ObjectApiClient = {
	readonly read: (key: string) => Promise<Result<StoredObject | undefined, Failure>>;
	readonly list: (prefix: string) => Promise<Result<StoredObject[], Failure>>;
	/** Writes where the stored version is the expected one; zero creates. A lost reply is `storeUnavailable`. */
	readonly write: (key: string, value: unknown, expectedVersion: number) => Promise<Result<number, Failure>>;
	readonly remove: (key: string, expectedVersion: number) => Promise<Result<number, Failure>>;
	/** Waits for changes under a prefix after a version; an empty reply when none came in time. */
	readonly watch: (prefix: string, afterVersion: number) => Promise<Result<WatchReply, Failure>>;
	/** Any other call of the platform: instance list, start and stop, usage intake, weight store. */
	readonly call: (method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown, options?: PlatformCallOptions) => Promise<Result<unknown, Failure>>;
	readonly close: () => Promise<void>;
};

/** Options of a call of the platform. */
export type PlatformCallOptions = {
	readonly timeoutMs?: number;
	/** Asked once more when the body is about to leave, after any wait for a connection. */
	readonly isAllowed?: () => boolean;
};

/** Options of {@link createObjectApiClient}. */
export type ObjectApiClientOptions = {
	/** `ip:port` of the platform. */
	readonly address: string;
	readonly callTimeoutMs?: number;
	readonly watchTimeoutMs?: number;
	/** Counts each call, for metrics and the capacity page. */
	readonly onCall?: (kind: string, bytes: number) => void;
};

type CallOptions = {
	readonly kind: string;
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: unknown;
	readonly timeoutMs?: number;
	readonly isAllowed?: (() => boolean) | undefined;
};

/**
 * Creates a client of the platform's object API.
 *
 * @param options - address, timeouts and a call counter
 * @returns the client
 */
export function createObjectApiClient(options: ObjectApiClientOptions): ObjectApiClient {
	const {address, callTimeoutMs = 2000, watchTimeoutMs = 30_000, onCall} = options;
	const pool = new Pool(`http://${address}`, {connections: 8, connect: {timeout: callTimeoutMs}});

	const send = async (call: CallOptions): Promise<Result<{status: number; body: unknown}, Failure>> => {
		const requestText = call.body === undefined ? null : JSON.stringify(call.body);
		try {
			const response = await pool.request({
				method: call.method,
				path: call.path,
				headers: {'content-type': 'application/json', ...call.headers},
				body: requestText === null || call.isAllowed === undefined ? requestText : createGuardedBody(requestText, call.isAllowed),
				signal: AbortSignal.timeout(call.timeoutMs ?? callTimeoutMs),
			});
			const replyText = await response.body.text();
			onCall?.(call.kind, replyText.length + (requestText?.length ?? 0));
			if (response.statusCode >= 500) {
				return Err(createFailure(ERROR_CODES.storeUnavailable, {detail: `status ${response.statusCode}`}));
			}

			return Ok({status: response.statusCode, body: replyText === '' ? undefined : JSON.parse(replyText) as unknown});
		} catch (error) {
			onCall?.(call.kind, requestText?.length ?? 0);
			return Err(createFailure(ERROR_CODES.storeUnavailable, {detail: (error as Error).message}));
		}
	};

	const sendConditionalChange = async (call: CallOptions): Promise<Result<number, Failure>> => {
		const reply = await send(call);
		if (reply.err) {
			return reply;
		}

		if (reply.val.status === 412) {
			return Err(createFailure(ERROR_CODES.versionConflict, {detail: call.path}));
		}

		return reply.val.status < 300
			? Ok((reply.val.body as {version: number}).version)
			: Err(createFailure(ERROR_CODES.storeUnavailable, {detail: `status ${reply.val.status}`}));
	};

	const toObjectPath = (key: string) => `/objects/${encodeURIComponent(key)}`;
	return {
		async read(key) {
			const reply = await send({kind: 'read', method: 'GET', path: toObjectPath(key)});
			return reply.map(({status, body}) => status === 404 ? undefined : body as StoredObject);
		},
		async list(prefix) {
			const reply = await send({kind: 'list', method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`});
			return reply.map(({body}) => (body as {objects: StoredObject[]}).objects);
		},
		write: async (key, value, expectedVersion) => sendConditionalChange({
			kind: 'write', method: 'PUT', path: toObjectPath(key), body: value, headers: {'if-match': String(expectedVersion)},
		}),
		remove: async (key, expectedVersion) => sendConditionalChange({
			kind: 'remove', method: 'DELETE', path: toObjectPath(key), headers: {'if-match': String(expectedVersion)},
		}),
		async watch(prefix, afterVersion) {
			const query = `prefix=${encodeURIComponent(prefix)}&after=${afterVersion}&waitMs=${watchTimeoutMs}`;
			const reply = await send({
				kind: 'watch', method: 'GET', path: `/watch?${query}`, timeoutMs: watchTimeoutMs + callTimeoutMs,
			});
			return reply.map(({body}) => body as WatchReply);
		},
		async call(method, path, body, {timeoutMs = callTimeoutMs, isAllowed} = {}) {
			const reply = await send({
				kind: path.split('/')[1] ?? path, method, path, body, timeoutMs, isAllowed,
			});
			if (reply.err || reply.val.status < 400) {
				return reply.map(value => value.body);
			}

			const code = reply.val.status === 412 ? ERROR_CODES.versionConflict : ERROR_CODES.storeUnavailable;
			return Err(createFailure(code, {detail: `status ${reply.val.status} of ${path}`}));
		},
		close: async () => pool.destroy(),
	};
}

/** Gives a body only while the call may be made; else the platform gets half a request, which it does not take in. */
function createGuardedBody(text: string, isAllowed: () => boolean): Readable {
	return Readable.from((function * () {
		if (!isAllowed()) {
			throw new Error('the authority for the call has ended');
		}

		yield Buffer.from(text);
	})());
}
