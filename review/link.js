/**
 * Link of one machine to the platform, which can be cut. It behaves like TCP over a partition: no channel opens meanwhile;
 * bytes on a channel that was open are held up, and sent again by the sender's retransmission timer, which doubles from
 * 200 ms on. Closing a channel does not take them back; a reset does.
 */
import {connect, createServer} from 'node:net';
import {HOST, listen} from './net.js';

const MIN_RETRANSMISSION_MS = 200;

/** Starts a link to `address` (`ip:port`). */
export async function startLink({address, name, record}) {
	const [, port] = address.split(':');
	const channels = new Set();
	let isCut = false;
	let healedAtMs = Number.NEGATIVE_INFINITY;

	/** Forwards one direction of a channel. Held bytes wait for the retransmission timer after the link is back. */
	const forward = (from, to, channel) => {
		const held = [];
		let heldSinceMs;
		let isWaiting = false;
		const send = () => {
			isWaiting = false;
			for (const chunk of held.splice(0)) {
				if (chunk === undefined) {
					to.end();
				} else if (!to.destroyed) {
					to.write(chunk);
				}
			}

			heldSinceMs = undefined;
		};

		const take = chunk => {
			if (channel.isDead) {
				return;
			}

			if (!isCut && held.length === 0) {
				if (chunk === undefined) {
					to.end();
				} else {
					to.write(chunk);
				}

				return;
			}

			held.push(chunk);
			heldSinceMs ??= performance.now();
		};

		from.on('data', take);
		from.on('end', () => {
			take(undefined);
		});
		channel.resumes.push(() => {
			if (held.length === 0 || isWaiting) {
				return;
			}

			let timerMs = MIN_RETRANSMISSION_MS;
			let atMs = heldSinceMs + timerMs;
			while (atMs < performance.now()) {
				timerMs *= 2;
				atMs += timerMs;
			}

			isWaiting = true;
			record(`${name}: held bytes of a channel are sent again ${Math.round(atMs - performance.now())} ms after the link is back`);
			setTimeout(send, atMs - performance.now());
		});
	};

	const server = createServer({allowHalfOpen: true}, client => {
		const channel = {isDead: isCut, resumes: [], sockets: [client]};
		channels.add(channel);
		const end = () => {
			channel.isDead = true;
			for (const socket of channel.sockets) {
				socket.destroy();
			}

			channels.delete(channel);
		};

		client.on('error', end);
		if (channel.isDead) {
			// In a partition the channel would not open: whatever is sent on it is lost.
			client.resume();
			client.on('end', end);
			return;
		}

		const upstream = connect({host: HOST, port: Number(port), allowHalfOpen: true});
		channel.sockets.push(upstream);
		upstream.on('error', end);
		forward(client, upstream, channel);
		forward(upstream, client, channel);
	});
	const linkAddress = await listen(server);
	return {
		address: linkAddress,
		cut() {
			record(`${name}: link cut`);
			isCut = true;
		},
		heal() {
			record(`${name}: link healed`);
			isCut = false;
			healedAtMs = performance.now();
			for (const channel of channels) {
				if (channel.isDead) {
					for (const socket of channel.sockets) {
						socket.destroy();
					}
				} else {
					for (const resume of channel.resumes) {
						resume();
					}
				}
			}
		},
		getHealedAtMs: () => healedAtMs,
		close() {
			server.close();
			for (const {sockets} of channels) {
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		},
	};
}
