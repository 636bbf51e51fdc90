/** What becomes of a target's answer, given what the caller already has. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ANSWER_USES, decideAnswerUse, SENT_FORMS} from '../answerUse.js';

const SEED = 42;
const factsArbitrary = fc.record({
	status: fc.integer({min: 200, max: 599}),
	isSigned: fc.boolean(),
	isEventStream: fc.boolean(),
	sentForm: fc.constantFrom(...Object.values(SENT_FORMS)),
	isTakeUp: fc.boolean(),
});

describe('an answer of a target', () => {
	it('follows what a caller already has only as the rest of a stream', () => {
		fc.assert(fc.property(factsArbitrary, facts => {
			const use = decideAnswerUse(facts);
			const isForwarded = use === ANSWER_USES.forwardBody || use === ANSWER_USES.forwardEvents;
			if (isForwarded && facts.sentForm !== SENT_FORMS.nothing) {
				assert.deepEqual([facts.status, facts.isSigned, facts.isEventStream, facts.sentForm, use], [200, true, true, SENT_FORMS.events, ANSWER_USES.forwardEvents]);
			}
		}), {seed: SEED});
	});

	it('is never forwarded unsigned', () => {
		fc.assert(fc.property(factsArbitrary, facts => {
			const use = decideAnswerUse({...facts, isSigned: false});
			assert.ok(use === ANSWER_USES.reject || use === ANSWER_USES.failAttempt);
		}), {seed: SEED});
	});

	it('is a success for a caller that takes up a stream only as events', () => {
		fc.assert(fc.property(factsArbitrary, facts => {
			const use = decideAnswerUse({...facts, isTakeUp: true});
			assert.ok(use !== ANSWER_USES.forwardBody || facts.status >= 300);
			assert.ok(use !== ANSWER_USES.forwardEvents || (facts.status === 200 && facts.isEventStream));
		}), {seed: SEED});
	});

	it('is forwarded with its status below 500 to a caller that has nothing', () => {
		for (const status of [200, 204, 302, 404]) {
			const facts = {
				status, isSigned: true, isEventStream: false, sentForm: SENT_FORMS.nothing, isTakeUp: false,
			};
			assert.equal(decideAnswerUse(facts), ANSWER_USES.forwardBody);
		}
	});
});
