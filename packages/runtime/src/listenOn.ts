import {once} from 'node:events';
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';

/**
 * Makes a server listen at an address.
 *
 * @param server - server that does not listen yet
 * @param address - `ip:port`; port 0 takes a free one
 * @returns the `ip:port` taken; rejects where the address cannot be had
 */
export async function listenOn(server: Server, address: string): Promise<string> {
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
	const bound = server.address() as AddressInfo;
	return `${bound.address}:${bound.port}`;
}
