import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

/**
 * Writes bytes to a response and waits until its buffer has drained. Returns
 * immediately if the connection is closed, or as soon as it closes.
 *
 * @param response - response whose head was already written
 * @returns whether more bytes can be written
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
