import {Buffer} from 'node:buffer';

/** Bytes in a few blocks, so that many small chunks cost little more than their bytes. */
export type ByteCollector = {
	readonly push: (chunk: Buffer) => void;
	/** Returns the blocks in order, and begins anew. */
	readonly takeBlocks: () => readonly Buffer[];
	/** Returns the bytes in one buffer, and begins anew. */
	readonly take: () => Buffer;
	readonly getLength: () => number;
};

/** Length from which on a chunk is a block of its own, which is not copied. */
const OWN_BLOCK_BYTES = 1024;
const NO_BYTES = Buffer.alloc(0);
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 16_384;

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
	let blocks: Buffer[] = [];
	/** Block that small chunks are copied to, and how much of it is used. */
	let openBlock: Buffer = NO_BYTES;
	let openLength = 0;
	let length = 0;

	const closeBlock = () => {
		if (openLength > 0) {
			blocks.push(openBlock.subarray(0, openLength));
			openBlock = openBlock.subarray(openLength);
			openLength = 0;
		}
	};

	const takeBlocks = () => {
		closeBlock();
		const taken = blocks;
		blocks = [];
		openBlock = NO_BYTES;
		length = 0;
		return taken;
	};

	return {
		push(chunk) {
			length += chunk.length;
			if (chunk.length >= OWN_BLOCK_BYTES) {
				closeBlock();
				blocks.push(chunk);
				return;
			}

			if (openLength + chunk.length > openBlock.length) {
				closeBlock();
				openBlock = Buffer.allocUnsafe(Math.max(chunk.length, Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, length))));
			}

			openBlock.set(chunk, openLength);
			openLength += chunk.length;
		},
		takeBlocks,
		take() {
			const taken = takeBlocks();
			return taken.length === 1 ? taken[0]! : Buffer.concat(taken);
		},
		getLength: () => length,
	};
}
