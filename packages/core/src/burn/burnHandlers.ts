import {ERROR_CODES} from '@damaskspool/shared';
import {resolveRoute} from '../configuration/configurationState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent, type RequestReceived} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {
	type BurnState, createBurnCounts, expireTallies, type MeasuredRequest, recordBurn,
} from './burnState.js';

/**
 * Event handlers that measure the service levels of an entry. They run after the
 * request handlers: a request that is no longer in `state.requests` has ended with
 * the current event.
 */
export const burnHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'request.received'(state, event) {
		const measured = createMeasuredRequest(state, event);
		if (measured === undefined) {
			return [];
		}

		if (state.requests.has(event.attributes.requestId)) {
			state.burn.open.set(event.attributes.requestId, measured);
		} else {
			recordFailure(state.burn, measured, ERROR_CODES.noTarget, event.nowMs);
		}

		return [];
	},

	'attempt.answered'({burn}, {requestId, nowMs}) {
		const measured = burn.open.get(requestId);
		if (measured !== undefined) {
			measured.firstTokenAtMs ??= nowMs;
		}

		return [];
	},

	'attempt.finished'({burn, requests}, {requestId, generatedTokens, nowMs}) {
		const measured = burn.open.get(requestId);
		if (measured === undefined || requests.has(requestId)) {
			return [];
		}

		burn.open.delete(requestId);
		const {
			customerId, serviceId, firstTokenAtMs = nowMs, receivedAtMs, isModel,
		} = measured;
		const meanBetweenTokensMs = (nowMs - firstTokenAtMs) / Math.max(1, generatedTokens - 1);
		recordBurn(burn, {
			customerId,
			serviceId,
			nowMs,
			counts: createBurnCounts({
				requests: 1,
				lateFirst: isModel && firstTokenAtMs - receivedAtMs > measured.firstTokenGoalMs ? 1 : 0,
				lateBetween: isModel && generatedTokens > 1 && meanBetweenTokensMs > measured.betweenTokensGoalMs ? 1 : 0,
			}),
		});
		return [];
	},

	'attempt.failed'({burn, requests}, {requestId, failure, nowMs}) {
		const measured = burn.open.get(requestId);
		if (measured !== undefined && !requests.has(requestId)) {
			burn.open.delete(requestId);
			recordFailure(burn, measured, failure.code, nowMs);
		}

		return [];
	},

	'caller.disconnected'({burn}, {requestId}) {
		burn.open.delete(requestId);
		return [];
	},

	tick({burn, requests}, {nowMs}) {
		for (const [requestId, measured] of burn.open) {
			if (!requests.has(requestId)) {
				burn.open.delete(requestId);
				recordFailure(burn, measured, ERROR_CODES.deadlineExceeded, nowMs);
			}
		}

		expireTallies(burn, nowMs);
		return [];
	},
};

/**
 * Creates the measurement of a request that counts for the service level. A request counts if it comes from a
 * known customer, matches a route and an offered model, and does not exceed the body limit.
 */
function createMeasuredRequest(state: EntryState, {attributes, nowMs}: RequestReceived): MeasuredRequest | undefined {
	const resolved = resolveRoute(state.configuration, attributes.method, attributes.path, attributes.modelId);
	const record = state.requests.get(attributes.requestId);
	const customerId = record?.customerId ?? state.configuration.customerIdByKeyHash.get(attributes.keyHash ?? '');
	if (resolved === undefined || customerId === undefined || attributes.bodyBytes > resolved.route.bodyLimitBytes) {
		return undefined;
	}

	const {serviceId, kind, models, firstTokenGoalMs, betweenTokensGoalMs} = resolved.service;
	const isModel = kind === 'model';
	return isModel && !models.includes(attributes.modelId ?? '')
		? undefined
		: {
			customerId, serviceId, firstTokenGoalMs, betweenTokensGoalMs, isModel, receivedAtMs: nowMs, firstTokenAtMs: undefined,
		};
}

function recordFailure(burn: BurnState, {customerId, serviceId}: MeasuredRequest, cause: string, nowMs: number): void {
	recordBurn(burn, {
		customerId, serviceId, cause, nowMs, counts: createBurnCounts({requests: 1, failed: 1}),
	});
}
