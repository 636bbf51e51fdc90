import {type InstanceRecord} from '@damaskspool/shared';
import {type MembershipState} from '../membership/membershipState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {computeSlowness} from './expectedTime.js';
import {mergeCacheEvents} from './prefixIndex.js';
import {getLocalLoad, type RoutingState, type SentAttempt} from './routingState.js';

/** Handlers that update the local loads and the prefix index of an entry. They must run before the request handlers. */
export const routingHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'attempt.answered'({routing}, {attemptId, nowMs}) {
		const sent = routing.sentAttempts.get(attemptId);
		if (sent !== undefined && !sent.isAnswered) {
			const localLoad = getLocalLoad(routing, sent.targetId);
			localLoad.slowness = computeSlowness(localLoad.slowness, nowMs - sent.sentAtMs, sent.expectedFirstTokenMs);
			releasePrefillTokens(routing, sent);
		}

		return [];
	},

	'attempt.finished'({routing}, {attemptId}) {
		endAttempt(routing, attemptId);
		return [];
	},

	'attempt.failed'({routing}, {attemptId}) {
		endAttempt(routing, attemptId);
		return [];
	},

	'caller.disconnected'(state, {requestId}) {
		const attempt = state.requests.get(requestId)?.attempt;
		if (attempt !== undefined) {
			endAttempt(state.routing, attempt.attemptId);
		}

		return [];
	},

	'load.reported'({routing, membership}, {load}) {
		const target = membership.targets.get(load.targetId);
		if (target !== undefined && target.load?.models.join('\n') !== load.models.join('\n')) {
			routing.subsets.clear();
		}

		if (load.cacheEvents !== undefined) {
			mergeCacheEvents(routing.prefixes, load.targetId, load.cacheEvents);
		}

		return [];
	},

	'instances.listed'({routing, membership}, {instances}) {
		if (isListChanged(membership, instances)) {
			routing.subsets.clear();
		}

		const listed = new Set(instances.map(instance => instance.instanceId));
		for (const targetId of [...routing.localLoads.keys(), ...routing.prefixes.keys()]) {
			if (!listed.has(targetId) && !membership.targets.has(targetId)) {
				routing.localLoads.delete(targetId);
				routing.prefixes.delete(targetId);
			}
		}

		for (const {instanceId, incarnation} of instances) {
			// A restarted target has an empty prefix cache and restarts the sequence numbers of its cache events.
			const known = membership.targets.get(instanceId);
			if (known !== undefined && known.incarnation !== incarnation) {
				routing.prefixes.delete(instanceId);
			}
		}

		return [];
	},

	/** Removes attempts whose request ended without an event of the attempt, such as at its deadline. */
	tick(state) {
		for (const [attemptId, {requestId}] of state.routing.sentAttempts) {
			if (!state.requests.has(requestId)) {
				endAttempt(state.routing, attemptId);
			}
		}

		return [];
	},
};

/** Checks whether the instance list differs from the known targets. Subsets remain valid as long as it does not. */
function isListChanged({targets}: MembershipState, instances: readonly InstanceRecord[]): boolean {
	const listed = instances.filter(instance => instance.kind === 'target');
	return listed.length !== targets.size || listed.some(instance => {
		const known = targets.get(instance.instanceId);
		return known?.incarnation !== instance.incarnation || (instance.state === 'leaving' && !known.isLeaving);
	});
}

/** Marks an attempt as answered and subtracts its prefill tokens from the local load of its target. */
function releasePrefillTokens(routing: RoutingState, sent: SentAttempt): void {
	sent.isAnswered = true;
	getLocalLoad(routing, sent.targetId).prefillTokens -= sent.prefillTokens;
}

function endAttempt(routing: RoutingState, attemptId: string): void {
	const sent = routing.sentAttempts.get(attemptId);
	if (sent === undefined) {
		return;
	}

	if (!sent.isAnswered) {
		releasePrefillTokens(routing, sent);
	}

	routing.sentAttempts.delete(attemptId);
	getLocalLoad(routing, sent.targetId).running -= 1;
}
