/** What an answer counts as that ended with its connection, given what its target did around that end. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CloseSigns, decideClosedAnswer, WITNESS_STATES} from '../closedAnswer.js';

const {none, open, closed} = WITNESS_STATES;

/** Signs, and what a stream that can be resumed and any other answer counts as. */
const CASES: ReadonlyArray<readonly [name: string, signs: Partial<CloseSigns>, resumable: string, other: string]> = [
	['listens', {isListening: true}, 'whole', 'whole'],
	['listens, though its silent connection closed', {isListening: true, witness: closed}, 'whole', 'whole'],
	['may listen', {isListening: undefined}, 'whole', 'whole'],
	['keeps another connection open', {witness: open}, 'whole', 'whole'],
	['refused a connection before', {hasOutlivedRefusal: true}, 'doubtful', 'whole'],
	['has announced that it leaves', {isLeaving: true}, 'doubtful', 'whole'],
	['closed all connections', {witness: closed}, 'broken', 'broken'],
	['leaves and closed all connections', {isLeaving: true, hasOutlivedRefusal: true, witness: closed}, 'broken', 'broken'],
	['refuses connections without any other sign', {}, 'broken', 'broken'],
];

describe('an answer that ended with its connection', () => {
	for (const [name, signs, resumable, other] of CASES) {
		it(`counts as ${resumable} if resumable, else as ${other}, when its target ${name}`, () => {
			const allSigns = {
				isListening: false, hasOutlivedRefusal: false, witness: none, isLeaving: false, ...signs,
			};
			assert.deepEqual([true, false].map(isResumable => decideClosedAnswer(allSigns, {isResumable})), [resumable, other]);
		});
	}
});
