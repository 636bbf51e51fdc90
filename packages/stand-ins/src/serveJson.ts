import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A running stand-in. */
export type StandIn = {
	/** `ip:port` that was taken. */
	readonly address: string;
	readonly close: () => Promise<void>;
};

/** Handles one request, whose body was read as text. */
export type StandInHandler = (request: StandInRequest, response: ServerResponse) => void | Promise<void>;

/** A request with its body. */
export type StandInRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly headers: IncomingMessage['headers'];
	/** All header values, path and body: everything that the stand-in was sent. */
	readonly rawContent: string;
	readonly body: string;
};

/**
 * Serves HTTP on loopback.
 *
 * @param handle - handler of every request
 * @param port - port to take; 0 takes a free one
 * @returns the running server
 */
export async function serveJson(handle: StandInHandler, port = 0): Promise<StandIn> {
	const server = createServer({keepAliveTimeout: 65_000}, (incoming, response) => {
		void (async () => {
			try {
				const body = await text(incoming);
				const url = new URL(incoming.url ?? '/', 'http://stand-in');
				await handle({
					method: incoming.method ?? 'GET',
					path: url.pathname,
					query: url.searchParams,
					headers: incoming.headers,
					rawContent: [...incoming.rawHeaders, incoming.url, body].join('\n'),
					body,
				}, response);
			} catch {
				response.destroy();
			}
		})();
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}

/**
 * Answers with JSON.
 *
 * @param response - response to write
 * @param status - HTTP status
 * @param value - body
 * @param headers - further headers
 */

export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(value));
}
