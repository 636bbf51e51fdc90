/** A network path to a worker that can be cut: bytes and ends of channels wait on both sides until it heals. */
import {connect, createServer} from 'node:net';

/** Starts the path. It listens on a free port of 127.0.0.1 and leads to a port there. */
export async function startPath(targetPort) {
	let isCut = false;
	const channels = new Set();
	const listener = createServer({allowHalfOpen: true, pauseOnConnect: true}, caller => {
		const channel = {caller, worker: undefined};
		channels.add(channel);
		caller.on('error', () => channel.worker?.destroy());
		const open = () => {
			channel.worker = connect({host: '127.0.0.1', port: targetPort, allowHalfOpen: true});
			channel.worker.on('error', () => caller.resetAndDestroy());
			caller.pipe(channel.worker);
			channel.worker.pipe(caller);
			caller.on('close', () => {
				channels.delete(channel);
				channel.worker.destroy();
			});
		};

		if (isCut) {
			channel.open = open;
		} else {
			open();
		}
	});
	await new Promise(resolve => {
		listener.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: listener.address().port,
		cut() {
			isCut = true;
			for (const {caller, worker} of channels) {
				caller.unpipe(worker);
				worker.unpipe(caller);
				caller.pause();
				worker.pause();
			}
		},
		heal() {
			isCut = false;
			for (const channel of channels) {
				if (channel.worker === undefined) {
					channel.open();
				} else {
					channel.caller.pipe(channel.worker);
					channel.worker.pipe(channel.caller);
				}
			}
		},
		close() {
			listener.close();
			for (const {caller, worker} of channels) {
				caller.destroy();
				worker?.destroy();
			}
		},
	};
}
