import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {JSONRPCClient, JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {Agent, request} from 'undici';
import {
	createFailure, Err, ERROR_CODES, type Failure, MEBIBYTE_BYTES, Ok, type Result,
} from '@damaskspool/shared';
import {readBody} from './readBody.js';

/** HTTP path of JSON-RPC 2.0 calls, the same in every process of the system. */
export const RPC_PATH = '/rpc';
/** Maximum size of the body of a call. */
const MAX_RPC_BODY_BYTES = 4 * MEBIBYTE_BYTES;

/** RPC methods by name. An error thrown by a method is returned to the peer as a JSON-RPC error. */
export type RpcMethods = Readonly<Record<string, (parameters: unknown, context: RpcContext) => unknown>>;

/** Context of a call, passed to its method. */
export type RpcContext = {
	/** Value of the Authorization header. Set on operator calls. */
	readonly authorization: string | undefined;
};

/** Creates an HTTP request handler that executes JSON-RPC calls. Bodies over 4 MiB are refused with status 413. */
export function createRpcHandler(methods: RpcMethods): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
	const server = new JSONRPCServer<RpcContext>({
		errorListener() {
			// The error is returned to the peer. Logging it here would report it twice.
		},
	});
	for (const [name, method] of Object.entries(methods)) {
		server.addMethod(name, method);
	}

	return async (incoming, response) => {
		const body = await readBody(incoming, MAX_RPC_BODY_BYTES);
		if (body.err) {
			response.writeHead(413).end();
			return;
		}

		const context = {authorization: incoming.headers.authorization};
		const reply = await server.receiveJSON(body.val.toString('utf8'), context);
		const replyText = JSON.stringify(reply ?? null);
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(replyText)});
		response.end(replyText);
	};
}

/** Options of {@link createRpcClient}. */
export type RpcClientOptions = {
	readonly timeoutMs?: number;
	/** Called for each reply with the method and the number of bytes sent and received. Used for metrics and the capacity page. */
	readonly onCall?: (method: string, bytes: number) => void;
};

/** Client for the RPC methods of peers. */
export type RpcClient = {
	/**
	 * Calls a method of the process at `address` (`ip:port`). Fails with `peerUnreachable` if the method throws or no reply arrives.
	 * `authorization` is the value of the Authorization header.
	 */
	readonly call: (address: string, method: string, parameters: unknown, authorization?: string) => Promise<Result<unknown, Failure>>;
	readonly close: () => Promise<void>;
};

/** Creates a client for JSON-RPC over HTTP. */
export function createRpcClient(options: RpcClientOptions = {}): RpcClient {
	const {timeoutMs = 1000, onCall} = options;
	const agent = new Agent({connections: 2, keepAliveTimeout: 30_000, connect: {timeout: timeoutMs}});
	let nextId = 0;

	return {

		async call(address, method, parameters, authorization) {
			const client: JSONRPCClient = new JSONRPCClient(
				async (payload: JSONRPCRequest) => {
					const requestText = JSON.stringify(payload);
					const response = await request(`http://${address}${RPC_PATH}`, {
						dispatcher: agent,
						method: 'POST',
						headers: {'content-type': 'application/json', ...(authorization !== undefined && {authorization})},
						body: requestText,
						signal: AbortSignal.timeout(timeoutMs),
					});
					const replyText = await response.body.text();
					onCall?.(method, requestText.length + replyText.length);
					client.receive(JSON.parse(replyText) as Parameters<JSONRPCClient['receive']>[0]);
				},
				() => {
					nextId += 1;
					return nextId;
				},
			);
			try {
				return Ok(await client.request(method, parameters as Record<string, unknown>));
			} catch (error) {
				return Err(createFailure(ERROR_CODES.peerUnreachable, {detail: `${method}: ${(error as Error).message}`}));
			}
		},
		close: async () => agent.destroy(),
	};
}
