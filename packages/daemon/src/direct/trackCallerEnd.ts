import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/**
 * Calls `onEnded` if the caller ends its sending side behind its whole request and before the head of the answer. That looks
 * the same whether the caller still reads or has closed its connection.
 */
export function trackCallerEnd(response: ServerResponse, socket: Socket, onEnded: () => void): void {
	const receiveEnd = () => {
		if (response.req.complete && !response.headersSent && !response.destroyed) {
			onEnded();
		}
	};

	// The HTTP server's own listener ends the other side too, so nothing can be sent behind it.
	socket.prependListener('end', receiveEnd);
	response.on('close', () => {
		socket.off('end', receiveEnd);
	});
}
