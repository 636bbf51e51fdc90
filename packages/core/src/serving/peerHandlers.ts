import {type HandlerTable} from '../reducer/createReducer.js';
import {rankDuties} from '../lease/leaseHandlers.js';
import {
	applyRegistrations, beginEra, countMissing, expireRegistrations, listTargets, recordLeaving,
} from '../membership/targetCatalog.js';
import {recordReadFailure, recordReply} from '../membership/storeContact.js';
import {applyLimitShares} from '../placement/applyLimitShares.js';
import {applyPeerWork, removePeer} from '../placement/peerContributions.js';
import {
	applyTargets, createTargetWork, isLivePeer, PEER_TIMEOUT_MS, type TargetWork,
} from '../placement/placementState.js';
import {reportPartDecisions} from './crashHandlers.js';
import {createEntryRecord} from './createEntryRecord.js';
import {type PeerReport, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {applyAnsweredLimit, findIncarnation, mergeLimits} from './limitUpdates.js';
import {applyStatedLoad, mergeSpeeds} from './speedUpdates.js';
import {mergeVersions, observeVersions} from './streamContinuity.js';
import {type ServingState} from './servingState.js';

/** Share of an engine's KV cache assumed to hold shared prompt parts; running requests take the rest. */
const SHARED_PREFIX_CACHE_SHARE = 0.6;
/** Eras by which a peer's knowledge of the store may be ahead. */
const MAX_ERAS_AHEAD = 16;
/** A peer without a report for this long no longer shares budgets and duties. */
const PEER_EXPIRY_MS = 20 * PEER_TIMEOUT_MS;

/** Handlers of updates from outside: targets, configuration and peer reports. */
export const peerHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'targets.changed'(state, {nowMs, ...change}) {
		state.hasTargets = true;
		applyRegistrations(state.catalog, change, nowMs);
		state.serviceVersions.confirm(nowMs);
		const missing = countMissing(state.catalog);
		return [
			...observeVersions(state, nowMs),
			...applyCatalog(state),
			...(missing === 0 ? [] : [createEntryRecord(state, 'targets.kept', {missing, returnedAgoMs: Math.round(nowMs - state.catalog.storeContact.returnedAtMs)})]),
		];
	},
	'targets.confirmed'(state, {nowMs}) {
		recordReply(state.catalog.storeContact, nowMs);
		state.serviceVersions.confirm(nowMs);
		return [];
	},
	'peers.listed'(state, {peerCount}) {
		state.registeredPeerCount = peerCount;
		return [];
	},
	'targets.readFailed'(state, {failure}) {
		recordReadFailure(state.catalog.storeContact, failure);
		return [];
	},
	'store.eraChanged'(state, {era, nowMs}) {
		const previousEra = state.storeEra;
		state.storeEra = era;
		if (previousEra > 0) {
			beginEra(state.catalog, nowMs);
		}

		return [createEntryRecord(state, 'store.era', {era, previousEra})];
	},
	'process.suspended'(state, {suspendedMs}) {
		state.serviceVersions.recordSuspension(suspendedMs);
		return [createEntryRecord(state, 'process.suspended', {suspendedMs})];
	},
	'target.noticed'(state, {target, notice, requestSentAtMs, nowMs}) {
		const effects: ServingEffect[] = [];
		const placed = findIncarnation(state, target);
		if (placed !== undefined && notice.requestsPerSecond !== undefined) {
			effects.push(...applyAnsweredLimit(state, placed, {requestsPerSecond: notice.requestsPerSecond, requestSentAtMs}, nowMs));
		}

		if (placed !== undefined && notice.load !== undefined) {
			applyStatedLoad(state, placed, notice.load, nowMs);
		}

		if (notice.pauseMs > 0 && placed !== undefined && nowMs + notice.pauseMs > placed.pausedUntilMs) {
			placed.pausedUntilMs = nowMs + notice.pauseMs;
			effects.push({
				type: 'decision.record', name: 'target.paused', subject: target.targetId, detail: {pauseMs: notice.pauseMs},
			});
		}

		if (notice.isLeaving && recordLeaving(state.catalog, target)) {
			state.unreportedLeaving.push([target.targetId, target.startedAtMs]);
			effects.push(
				{
					type: 'decision.record', name: 'target.leaving', subject: target.targetId, detail: {startedAtMs: target.startedAtMs, toldBy: 'answer'},
				},
				...applyCatalog(state),
				{type: 'work.report'},
			);
		}

		return effects;
	},
	'configuration.changed'(state, {configuration}) {
		const currentVersion = state.configuration?.version;
		if (currentVersion !== undefined && configuration.version <= currentVersion) {
			return [createEntryRecord(state, 'configuration.ignored', {version: configuration.version, held: currentVersion})];
		}

		state.configuration = configuration;
		const engine = [...configuration.services.values()].find(service => service.engine !== undefined)?.engine;
		if (engine !== undefined) {
			state.placement.prefixLocations.setMaxTokens(engine.kvCapacityTokens * SHARED_PREFIX_CACHE_SHARE);
		}

		return [createEntryRecord(state, 'configuration.applied', {version: configuration.version, held: currentVersion, routes: configuration.routes.length})];
	},
	'peer.reported'(state, {report, nowMs, wallMs}) {
		// Prefix uses, crashes and usage counts are valid in any order. Forwarded reports may overtake one another.
		for (const [partId, targetId, tokens] of report.prefixUses) {
			state.placement.prefixLocations.recordUse(partId, targetId, tokens);
		}

		state.poisonRequests.merge(report.crashes, nowMs);
		state.usage.merge(report);
		const effects = [
			...reportPartDecisions(state.poisonParts.merge(report.poisonParts, nowMs), report.entryId),
			...mergeLeaving(state, report),
			...mergeLimits(state, report, nowMs),
			...mergeVersions(state, report, nowMs),
			...mergeEra(state, report),
		];
		mergeSpeeds(state, report, nowMs);
		const lastReport = state.placement.peers.get(report.entryId);
		if (lastReport?.processId === report.processId && report.sequence <= lastReport.sequence) {
			return effects;
		}

		applyPeerWork(state.placement, report.entryId, {
			sequence: report.sequence,
			processId: report.processId,
			receivedAtMs: nowMs,
			workByTarget: toWorkByTarget(report),
			availabilityZone: report.availabilityZone,
		});
		state.clock.recordOffset(report.entryId, report.wallMs - wallMs);
		if (state.membership.peers.has(report.entryId)) {
			return effects;
		}

		state.membership.peers.set(report.entryId, {
			instanceId: report.entryId, availabilityZone: report.availabilityZone, region: '',
		});
		return [...effects, {
			type: 'decision.record', name: 'peer.found', subject: report.entryId, detail: {processId: report.processId},
		}];
	},
	tick(state, {nowMs}) {
		const effects: ServingEffect[] = expireRegistrations(state.catalog, nowMs) ? [...applyCatalog(state)] : [];
		applyLimitShares(state.placement, nowMs);
		effects.push(...observeVersions(state, nowMs));
		// Only the first few live entries read the lease often, to limit the load on the store.
		rankDuties(state.lease, [...state.membership.peers.values()].filter(({instanceId}) => isLivePeer(state.placement, instanceId, nowMs)), nowMs);
		for (const [entryId, peer] of state.placement.peers) {
			if (nowMs - peer.receivedAtMs > PEER_EXPIRY_MS) {
				removePeer(state.placement, entryId);
				state.membership.peers.delete(entryId);
				state.clock.remove(entryId);
				effects.push({
					type: 'decision.record', name: 'peer.lost', subject: entryId, detail: {silentMs: Math.round(nowMs - peer.receivedAtMs)},
				});
			}
		}

		return effects;
	},
};

function toWorkByTarget({work, heldTokens}: PeerReport): Map<string, TargetWork> {
	const workByTarget = new Map(work.map(([targetId, running, prefillMs, urgentPrefillMs, copyMs]) => [targetId, {
		running, prefillMs, urgentPrefillMs, copyMs, tokens: 0,
	}]));
	for (const [targetId, tokens] of heldTokens) {
		workByTarget.set(targetId, {...workByTarget.get(targetId) ?? createTargetWork(), tokens});
	}

	return workByTarget;
}

/** Records the targets that a peer reports as about to stop. */
function mergeLeaving(state: ServingState, {entryId, leaving}: PeerReport): readonly ServingEffect[] {
	const news = leaving.filter(([targetId, startedAtMs]) => recordLeaving(state.catalog, {targetId, startedAtMs}));
	return news.length === 0
		? []
		: [
			...news.map(([targetId, startedAtMs]): ServingEffect => ({
				type: 'decision.record', name: 'target.leaving', subject: targetId, detail: {startedAtMs, toldBy: entryId},
			})),
			...applyCatalog(state),
		];
}

/** Adopts the era of a peer that has seen the store's return before this entry. A value far ahead is not an era that the store reached. */
function mergeEra(state: ServingState, {storeEra}: PeerReport): readonly ServingEffect[] {
	return state.storeEra > 0 && storeEra > state.storeEra && storeEra <= state.storeEra + MAX_ERAS_AHEAD
		? [{type: 'store.recordEra', era: storeEra}]
		: [];
}

function applyCatalog(state: ServingState): readonly ServingEffect[] {
	const targets = listTargets(state.catalog);
	applyTargets(state.placement, targets);
	return [{
		type: 'decision.record',
		name: 'targets.applied',
		subject: state.instanceId,
		detail: {targets: targets.length, leaving: targets.filter(({isLeaving}) => isLeaving).map(({targetId}) => targetId)},
	}];
}
