/** Link between entries and a worker, which can be cut. What is sent meanwhile arrives once the cut has healed, as with TCP. */
import {connect, createServer} from 'node:net';
import {listen} from './net.js';

/**
 * Starts a link to a worker.
 *
 * @param target - address of the worker, read at each new connection
 * @returns address for the registration of the worker, and functions that cut and heal the link
 */
export async function startLink(target) {
	const held = [];
	const sockets = new Set();
	let isCut = false;

	/** Runs a step now, or once the link has healed. */
	const pass = step => {
		if (isCut) {
			held.push(step);
		} else {
			step();
		}
	};

	const forward = (from, to) => {
		from.on('data', bytes => {
			pass(() => {
				to.write(bytes);
			});
		});
		from.on('end', () => {
			pass(() => {
				to.end();
			});
		});
		from.on('error', () => {
			pass(() => {
				to.resetAndDestroy();
			});
		});
	};

	const server = createServer({allowHalfOpen: true}, near => {
		sockets.add(near);
		near.pause();
		near.on('close', () => {
			sockets.delete(near);
		});
		pass(() => {
			const far = connect({host: '127.0.0.1', port: target.port, allowHalfOpen: true});
			sockets.add(far);
			far.on('close', () => {
				sockets.delete(far);
			});
			forward(near, far);
			forward(far, near);
			far.on('connect', () => {
				near.resume();
			});
		});
	});
	const address = await listen(server);
	return {
		address,
		cut() {
			isCut = true;
		},
		heal() {
			isCut = false;
			for (const step of held.splice(0)) {
				step();
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
