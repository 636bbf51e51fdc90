import {type Readable} from 'node:stream';

/**
 * Discards a response body that is not read to its end, and closes its
 * connection. Ignores the error that the body emits as a result.
 */
export function discardBody(body: Readable): void {
	body.on('error', () => undefined);
	body.destroy();
}
