import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {
	createFailure, Err, ERROR_CODES, type Failure, Ok, type Result,
} from '@damaskspool/shared';

/**
 * Reads a complete body, up to a size limit. If the body exceeds the limit, the
 * stream stays open and the rest unread: the sender can still receive a response.
 *
 * @returns the body; fails with `bodyTooLarge` over the limit, with `headerInvalid` if the sender disconnected
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
