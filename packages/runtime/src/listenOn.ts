import {once} from 'node:events';
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';

/**
 * Starts a server and waits until it listens. Rejects if the address is not available.
 *
 * @param address - `ip:port`; port 0 selects a free port
 * @returns the bound `ip:port`
 */
export async function listenOn(server: Server, address: string): Promise<string> {
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
	const bound = server.address() as AddressInfo;
	return `${bound.address}:${bound.port}`;
}
