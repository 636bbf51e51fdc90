import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {Pool} from 'undici';
import {
	createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/** An object of the platform's object API. */
export type StoredObject<Value = unknown> = {
	readonly key: string;
	/** Version of the object's last change. Increases with each change of any object. */
	readonly version: number;
	readonly value: Value;
};

/** Reply to a watch. */
export type WatchReply = {
	/** Version up to which the changes are complete. */
	readonly version: number;
	readonly changes: readonly StoredObject[];
};

/** Client of the platform's object API. Errors are returned as values. */
export type ObjectApiClient = {
	/** Returns the object, or undefined if it does not exist. */
	readonly read: (key: string) => Promise<Result<StoredObject | undefined, Failure>>;
	/** Returns all objects whose keys start with the prefix. */
	readonly list: (prefix: string) => Promise<Result<StoredObject[], Failure>>;
	/**
	 * Writes an object if its stored version equals the expected one, and returns the new version. Version 0 creates the object.
	 * Fails with `versionConflict` if the version differs, and with `storeUnavailable` if the platform fails or does not reply. In the latter case the write may have taken effect.
	 */
	readonly write: (key: string, value: unknown, expectedVersion: number) => Promise<Result<number, Failure>>;
	/** Removes an object if its stored version equals the expected one, and returns the new version. Fails like `write`. */
	readonly remove: (key: string, expectedVersion: number) => Promise<Result<number, Failure>>;
	/** Waits for changes under a prefix after a version. The reply is empty if no change occurs within the watch timeout. */
	readonly watch: (prefix: string, afterVersion: number) => Promise<Result<WatchReply, Failure>>;
	/** Makes any other platform call: instance list, start and stop, usage intake, weight store. */
	readonly call: (method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown, options?: PlatformCallOptions) => Promise<Result<unknown, Failure>>;
	readonly close: () => Promise<void>;
};

/** Options of {@link ObjectApiClient.call}. */
export type PlatformCallOptions = {
	readonly timeoutMs?: number;
	/** Checked immediately before the body is sent, after any wait for a connection. If it returns false, the call is aborted. */
	readonly isAllowed?: () => boolean;
};

/** Options of {@link createObjectApiClient}. */
export type ObjectApiClientOptions = {
	/** `ip:port` of the platform. */
	readonly address: string;
	readonly callTimeoutMs?: number;
	readonly watchTimeoutMs?: number;
	/** Called after each call with its kind and the number of bytes sent and received. Used for metrics and the capacity page. */
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

/** Creates a client with up to 8 connections. By default, a call times out after 2 s and a watch ends after 30 s. */
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

/** Creates a body that fails if the call is no longer allowed. The platform then receives an incomplete request and ignores it. */
function createGuardedBody(text: string, isAllowed: () => boolean): Readable {
	return Readable.from((function * () {
		if (!isAllowed()) {
			throw new Error('the authority for the call has expired');
		}

		yield Buffer.from(text);
	})());
}
