import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

/**
 * Writes bytes to an answer and waits until its connection takes more. A
 * connection that is closed already, or closes meanwhile, ends the wait at once.
 *
 * @param response - answer that was begun
 * @param bytes - what to write
 * @returns whether the connection still takes bytes
 */
export async function writeWithBackPressure(response: ServerResponse, bytes: Buffer): Promise<boolean> {
	const isOpen = () => !response.destroyed && !response.closed && !response.writableEnded;
	if (!isOpen()) {
		return false;
	}

	if (!response.write(bytes) && isOpen()) {
		await new Promise<void>(resolve => {
			const finish = () => {
				response.off('drain', finish);
				response.off('close', finish);
				resolve();
			};

			response.on('drain', finish);
			response.on('close', finish);
		});
	}

	return isOpen();
}
