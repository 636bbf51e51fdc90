import {type EntryEffect} from '@damaskspool/core';
import {type EffectHandlers} from '@damaskspool/runtime';
import {type QueryRow} from '@damaskspool/shared';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

/** Decisions that a process keeps in memory: about two minutes of them at the peak load that the system is designed for. */
const MAX_DECISIONS = 10_000;

type DecisionDetail = Readonly<Record<string, unknown>>;

/** A decision in memory. */
type Decision = {
	readonly atMs: number;
	readonly name: string;
	readonly subject: string;
	readonly detail: DecisionDetail;
};

/** Component of an entry that records decisions. */
export type DecisionComponent = EntryComponent<'decision.record'> & {
	/** Wraps effect handlers so that effects which explain a request or a target are recorded before they are handled. */
	readonly recordHandledEffects: (handlers: EffectHandlers<EntryEffect>) => EffectHandlers<EntryEffect>;
	/** Returns the decisions in memory as rows of `query events`, oldest first. */
	readonly listRows: () => QueryRow[];
	/** Writes a decision to the log and keeps it in memory. */
	readonly record: (name: string, subject: string, detail: DecisionDetail) => void;
};

type DecisionExtractor = (effect: never) => {readonly subject: string; readonly detail: DecisionDetail};

/**
 * Effects that explain the outcome of a request or the state of a target. They are kept in memory in addition to the
 * decisions that the core package records itself.
 */
const DECISION_EXTRACTORS: Readonly<Partial<Record<EntryEffect['type'], DecisionExtractor>>> = {
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

/** Creates the component that writes decisions to the log and keeps the latest ones in memory. */
export function createDecisionComponent({logger, settings}: EntryContext): DecisionComponent {
	const decisions: Decision[] = [];
	let decisionCount = 0;

	const storeDecision = (name: string, subject: string, detail: DecisionDetail) => {
		decisions[decisionCount % MAX_DECISIONS] = {
			atMs: Date.now(), name, subject, detail,
		};
		decisionCount += 1;
	};

	const recordDecision = (name: string, subject: string, detail: DecisionDetail) => {
		logger.info(name, {subject, ...detail});
		storeDecision(name, subject, detail);
	};

	return {
		record: recordDecision,
		effectHandlers: {
			'decision.record'({name, subject, detail}) {
				recordDecision(name, subject, detail);
			},
		},
		recordHandledEffects(handlers) {
			const recordingHandlers = Object.entries(handlers).map(([type, handle]) => {
				const extractor = DECISION_EXTRACTORS[type as EntryEffect['type']];
				return [type, extractor === undefined
					? handle
					: (effect: EntryEffect) => {
						const {subject, detail} = extractor(effect as never);
						storeDecision(type, subject, detail);
						(handle as (effect: EntryEffect) => void)(effect);
					}];
			});
			return Object.fromEntries(recordingHandlers) as EffectHandlers<EntryEffect>;
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
