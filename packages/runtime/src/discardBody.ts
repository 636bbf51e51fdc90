import {type Readable} from 'node:stream';

/**
 * Gives up a body that is not read to its end. Its connection is closed; the
 * error that this makes of the body is nobody's news.
 *
 * @param body - body of an answer
 */
export function discardBody(body: Readable): void {
	body.on('error', () => undefined);
	body.destroy();
}
