import {type EntryEffect} from '@damaskspool/core';
import {type EffectHandlers} from '@damaskspool/runtime';
import {type QueryRow} from '@damaskspool/shared';
import {type EntryContext, type EntryPart} from './entryPart.js';

/** Decisions that a process remembers: at the design's peak about two minutes of them. */
const DECISION_LIMIT = 10_000;

type Detail = Readonly<Record<string, unknown>>;

/** One remembered decision. */
type Decision = {
	readonly atMs: number;
	readonly name: string;
	readonly subject: string;
	readonly detail: Detail;
};

/** The part of an entry that remembers decisions. */
export type DecisionPart = EntryPart<'decision.record'> & {
	/** Remembers what the handlers are about to carry out. */
	readonly observe: (handlers: EffectHandlers<EntryEffect>) => EffectHandlers<EntryEffect>;
	/** Decisions as rows of `query events`, oldest first. */
	readonly listRows: () => QueryRow[];
	readonly record: (name: string, subject: string, detail: Detail) => void;
};

type Recorder = (effect: never) => {readonly subject: string; readonly detail: Detail};

/** Effects that explain what became of a request or a target, beside those that core records itself. */
const RECORDERS: Readonly<Partial<Record<EntryEffect['type'], Recorder>>> = {
	'attempt.send': ({requestId, targetId, customerId, serviceId}: Extract<EntryEffect, {type: 'attempt.send'}>) => ({
		subject: requestId, detail: {targetId, customerId, serviceId},
	}),
	'attempt.cancel': ({requestId}: Extract<EntryEffect, {type: 'attempt.cancel'}>) => ({subject: requestId, detail: {}}),
	'request.refuse': ({requestId, failure}: Extract<EntryEffect, {type: 'request.refuse'}>) => ({
		subject: requestId, detail: {code: failure.code, outcome: failure.outcome},
	}),
	'request.complete': ({requestId}: Extract<EntryEffect, {type: 'request.complete'}>) => ({subject: requestId, detail: {}}),
	'order.offer': ({targetId, desired}: Extract<EntryEffect, {type: 'order.offer'}>) => ({subject: targetId, detail: desired}),
};

/**
 * Creates the part of an entry that records decisions in the log and remembers the latest.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createDecisionPart({logger, settings}: EntryContext): DecisionPart {
	const decisions: Decision[] = [];
	let next = 0;

	const record = (name: string, subject: string, detail: Detail) => {
		decisions[next % DECISION_LIMIT] = {
			atMs: Date.now(), name, subject, detail,
		};
		next += 1;
	};

	const recordLogged = (name: string, subject: string, detail: Detail) => {
		logger.info(name, {subject, ...detail});
		record(name, subject, detail);
	};

	return {
		record: recordLogged,
		effectHandlers: {
			'decision.record'({name, subject, detail}) {
				recordLogged(name, subject, detail);
			},
		},
		observe(handlers) {
			const observed = Object.entries(handlers).map(([type, handle]) => {
				const recorder = RECORDERS[type as EntryEffect['type']];
				return [type, recorder === undefined
					? handle
					: (effect: EntryEffect) => {
						const {subject, detail} = recorder(effect as never);
						record(type, subject, detail);
						(handle as (effect: EntryEffect) => void)(effect);
					}];
			});
			return Object.fromEntries(observed) as EffectHandlers<EntryEffect>;
		},
		listRows: () => decisions.toSorted((left, right) => left.atMs - right.atMs).map(({atMs, name, subject, detail}) => ({
			at: new Date(atMs).toISOString(),
			instance: settings.instanceId,
			event: name,
			subject,
			detail: JSON.stringify(detail),
		})),
	};
}
