/** Load: a connection that always has more to read, and costs more than its share. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {
	DIVIDED_WORK_MS, FREE_READ_MS, MIN_OWN_WORK_MS, SHARED_WORK_MS,
} from '@damaskspool/core';
import {createReadGovernor, type GovernedReader} from '../createReadGovernor.js';

const RUN_MS = 400;
/** Work of turns for each millisecond between them. The work here takes no time, so that this is all the time. */
const MAX_SHARE = 0.25;
const PIECE_MS = 0.3;

const openReaders = new Set<GovernedReader>();

/** Opens a reader that always has more to read, in pieces that are said to take a time. */
function openEndlessReader(governor: ReturnType<typeof createReadGovernor>, pieceMs: number) {
	const use = {workMs: 0};
	const read = () => {
		while (reader.mayRead()) {
			reader.record(pieceMs);
			use.workMs += pieceMs;
		}
	};

	const reader: GovernedReader = governor.open(read);
	openReaders.add(reader);
	return {use, read, reader};
}

describe('the governor of reads', () => {
	afterEach(() => {
		for (const reader of openReaders) {
			reader.close();
		}

		openReaders.clear();
	});

	it('lets a connection read what is free in a pass, and then in its turns', async () => {
		const governor = createReadGovernor();
		const readers = Array.from({length: 5}, () => openEndlessReader(governor, PIECE_MS));
		for (const {read} of readers) {
			read();
		}

		const startedAtMs = performance.now();
		await wait(RUN_MS);
		const works = readers.map(({use}) => use.workMs);
		const total = works.reduce((sum, workMs) => sum + workMs, 0);
		const freeMs = readers.length * (FREE_READ_MS + PIECE_MS);
		assert.ok(total <= ((performance.now() - startedAtMs) * MAX_SHARE) + freeMs, `${total} ms of work`);
		assert.ok(works.every(workMs => workMs > 2), JSON.stringify(works));
	});

	it('lets each of many connections that read use little, and a sound one beside them read', () => {
		const governor = createReadGovernor();
		const readers = Array.from({length: 40}, () => openEndlessReader(governor, 0.1));
		for (const {read} of readers) {
			read();
		}

		const total = readers.reduce((sum, {use}) => sum + use.workMs, 0);
		assert.ok(total <= SHARED_WORK_MS + DIVIDED_WORK_MS + FREE_READ_MS + (readers.length * (MIN_OWN_WORK_MS + 0.1)), `${total} ms of work`);
		const sound = governor.open(() => {
			assert.fail('it never waits');
		});
		assert.ok(sound.mayRead());
	});

	it('never holds back a connection that reads a little in each pass', async () => {
		const governor = createReadGovernor();
		const {read, reader} = openEndlessReader(governor, 0.3);
		read();
		const sound = governor.open(() => {
			assert.fail('it never waits');
		});
		for (let pass = 0; pass < 50; pass += 1) {
			assert.ok(sound.mayRead());
			sound.record(0.3);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	});

	it('calls a connection that is closed no more', async () => {
		const governor = createReadGovernor();
		let turnCount = 0;
		const reader = governor.open(() => {
			turnCount += 1;
		});
		reader.record(FREE_READ_MS);
		assert.ok(!reader.mayRead());
		reader.close();
		await wait(20);
		assert.equal(turnCount, 0);
	});
});
