import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {
	createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/**
 * Reads a body whole, up to a limit. A body over the limit leaves its stream
 * open and unread, so that the sender can still be answered.
 *
 * @param stream - body
 * @param limitBytes - most bytes that are held
 * @returns the bytes, or `bodyTooLarge`, or `headerInvalid` where the sender broke off
 */
export async function readBody(stream: Readable, limitBytes: number): Promise<Result<Buffer, Failure>> {
	const chunks: Buffer[] = [];
	let length = 0;
	try {
		for await (const chunk of stream.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
			length += chunk.length;
			if (length > limitBytes) {
				return Err(createFailure(ERROR_CODES.bodyTooLarge));
			}

			chunks.push(chunk);
		}
	} catch (error) {
		return Err(createFailure(ERROR_CODES.headerInvalid, {detail: (error as Error).message}));
	}

	return Ok(Buffer.concat(chunks, length));
}
