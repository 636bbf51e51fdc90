import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A running stand-in. */
export type StandIn = {
	/** `ip:port` on which the stand-in listens. */
	readonly address: string;
	readonly close: () => Promise<void>;
};

/** Handles one request. An error destroys the response. */
export type StandInHandler = (request: StandInRequest, response: ServerResponse) => void | Promise<void>;

/** A request with its body read as text. */
export type StandInRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly headers: IncomingMessage['headers'];
	/** Everything the stand-in received: header names and values, URL and body, joined by line breaks. */
	readonly rawContent: string;
	readonly body: string;
};

/**
 * Serves HTTP on loopback.
 *
 * @param port - port to listen on; 0 picks a free one
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

/** Sends a JSON response and ends it. */
export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(value));
}
