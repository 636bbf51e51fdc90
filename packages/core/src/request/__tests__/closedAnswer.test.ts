/** What an answer counts as that ended with its connection, given what its target did around that end. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CloseSigns, decideClosedAnswer, WITNESS_STATES} from '../closedAnswer.js';

const {none, open, closed} = WITNESS_STATES;

/** Signs, and what a stream that can be resumed, another stream and a plain answer count as. */
const CASES: ReadonlyArray<readonly [name: string, signs: Partial<CloseSigns>, resumable: string, stream: string, plain: string]> = [
	['listens', {isListening: true}, 'whole', 'whole', 'whole'],
	['listens, though its silent connection closed', {isListening: true, witness: closed}, 'whole', 'whole', 'whole'],
	['may listen', {isListening: undefined}, 'whole', 'whole', 'whole'],
	['keeps another connection open', {witness: open}, 'whole', 'whole', 'whole'],
	['refused a connection before', {hasOutlivedRefusal: true}, 'doubtful', 'whole', 'whole'],
	['has announced that it leaves', {isLeaving: true}, 'broken', 'broken', 'whole'],
	['closed all connections', {witness: closed}, 'broken', 'broken', 'broken'],
	['leaves and closed all connections', {isLeaving: true, hasOutlivedRefusal: true, witness: closed}, 'broken', 'broken', 'broken'],
	['refuses connections without any other sign', {}, 'broken', 'broken', 'broken'],
];

describe('an answer that ended with its connection', () => {
	for (const [name, signs, resumable, stream, plain] of CASES) {
		it(`counts as ${resumable} if resumable, as ${stream} if another stream and as ${plain} if plain, when its target ${name}`, () => {
			const allSigns = {
				isListening: false, hasOutlivedRefusal: false, witness: none, isLeaving: false, ...signs,
			};
			const forms = [{isResumable: true, isStream: true}, {isResumable: false, isStream: true}, {isResumable: false, isStream: false}];
			assert.deepEqual(forms.map(form => decideClosedAnswer(allSigns, form)), [resumable, stream, plain]);
		});
	}
});
