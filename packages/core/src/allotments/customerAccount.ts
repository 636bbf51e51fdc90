/**
 * The bucket of one customer as one entry sees it: how much of the allotment is left, and whether this entry may use it. It
 * answers a customer whose callers come to one entry, to all, or to one after the other, below its limit or at a multiple
 * of it, with requests whose costs differ by a hundred times.
 */
import {SECOND_MS} from '@damaskspool/shared';
import {type AllotmentRecord, type AllotmentTolerance} from './allotmentRecord.js';
import {type GroupStanding} from './entryGroup.js';

/** What is known of a peer's use of an allotment. */
export type PeerUse = {processId: string; spent: number; demandPerS: number; reportedAtMs: number};

/** Use of one customer's allotment, as known to one entry. */
export type CustomerAccount = {
	readonly customerId: string;
	allotment: AllotmentRecord;
	/** Units left in the bucket of the entry's group. Below zero, the group has used some of its permitted debt. */
	level: number;
	/** Part of the allotment that the group could use when the level was computed. */
	part: number;
	/** Units spent lately by all members of the group, as a sum that decays within the time in which silence is noticed. */
	recentlySpent: number;
	/** Units that this entry may use of a saturated allotment. */
	credit: number;
	/** Where between no request and one the credit begins when demand begins, from zero to one. */
	readonly stagger: number;
	updatedAtMs: number;
	/** Whether the level is known, not just assumed by a process that has started or was suspended. */
	isLevelKnown: boolean;
	/** Units spent since the start of this process. */
	spent: number;
	/** Requests refused since the start of this process. */
	refusedCount: number;
	/** Units per second that arrive at this entry, admitted or not, as a moving average. */
	demandPerS: number;
	readonly peers: Map<string, PeerUse>;
	/** Sum of the peers' demand. */
	peerDemandPerS: number;
	/** Units spent since the last report to peers. */
	unreported: number;
	reportedAtMs: number;
	/** Time at which a caller who is told now to come back may be admitted, after those told before. */
	returnAtMs: number;
	/** Time of the last request, here or at a peer. */
	usedAtMs: number;
};

/** Rate, burst and debt of an allotment for the group of an entry. */
export type GroupAllotment = {
	/** Part of the allotment that the group may use. */
	readonly part: number;
	readonly ratePerS: number;
	readonly burst: number;
	readonly debt: number;
	/** Largest request that is ever admitted. */
	readonly largest: number;
	readonly isMajority: boolean;
};

/** Part of the permitted excess that the level may run into as debt. The rest covers what entries spend within the delay of a report. */
const DEBT_SLACK_PART = 0.5;
/** Part of the permitted ratio of excess that serves as debt, and another by which a group may exceed its part. */
const OVERAGE_PART = 0.25;
/** Part of the debt in which requests are admitted whatever they cost. */
const EVEN_DEBT_PART = 0.5;
/** Time over which demand is averaged. */
export const DEMAND_AVERAGE_MS = 2000;
/** Demand as a multiple of the rate above which an allotment counts as saturated. */
const SATURATED_RATIO = 1.25;
/** Requests per second of all entries below which two of them hardly arrive within the delay of a report. */
const SPARSE_PER_S = 4;
/** Part of the burst that must be left for an entry to admit without credit of its own. */
const FREE_BURST_PART = 0.25;
/** Part of burst and debt up to which requests are admitted alike, whatever they cost. */
const SMALL_PART = 0.25;
/** Credit accrues by this ratio faster than the entry's share of the rate: the level limits the sum, and shares change. */
const CREDIT_GROWTH = 1.25;
/** Demand as a ratio of the rate below which an entry counts as one without demand. */
const NO_DEMAND_RATIO = 0.01;
/** Pull of a level that a peer reports, for all peers together. Their levels do not contain what this entry has just spent, so a strong pull would undo it. */
const LEVEL_PULL = 0.05;
/** Decay of recent spending: the time after which a silent entry is noticed. */
const RECENT_MS = 800;
/** Retry-after while an entry may use nothing, because it hears too few others. Reports of peers arrive within it. */
const UNHEARD_RETURN_MS = 500;
/** Longest retry-after, and that of a request that is larger than the allotment ever admits. */
const MAX_RETURN_MS = 30_000;

/** Computes the part of an allotment that a group may use. */
export function computeGroupAllotment({ratePerS, burst}: AllotmentRecord, {part, isMajority}: GroupStanding, {windowMs, overage, slack}: AllotmentTolerance): GroupAllotment {
	const raisedPart = Math.min(1, part * (1 + (overage * OVERAGE_PART)));
	const permitted = (ratePerS * windowMs / SECOND_MS) + burst;
	const fullDebt = (slack * DEBT_SLACK_PART) + (permitted * overage * OVERAGE_PART);
	return {
		part: raisedPart,
		ratePerS: ratePerS * raisedPart,
		// One request must fit into the burst of the largest group, whatever the limit.
		burst: (isMajority ? Math.max(burst, 1) : burst) * raisedPart,
		debt: fullDebt * raisedPart,
		largest: Math.max(burst, 1) + fullDebt,
		isMajority,
	};
}

/** Creates the account of a customer, whose bucket refills from the given time on. */
export function createAccount(options: {customerId: string; allotment: AllotmentRecord; group: GroupAllotment; stagger: number; refillsFromMs: number; nowMs: number}): CustomerAccount {
	const {customerId, allotment, group, stagger, refillsFromMs, nowMs} = options;
	return {
		customerId,
		allotment,
		level: -group.debt * EVEN_DEBT_PART,
		part: group.part,
		recentlySpent: 0,
		credit: 0,
		stagger,
		updatedAtMs: refillsFromMs,
		isLevelKnown: false,
		spent: 0,
		refusedCount: 0,
		demandPerS: 0,
		peers: new Map(),
		peerDemandPerS: 0,
		unreported: 0,
		reportedAtMs: nowMs,
		returnAtMs: nowMs,
		usedAtMs: nowMs,
	};
}

/** Assumes no more than the refill of a group, after which the level of a peer is taken over. */
export function resetLevel(account: CustomerAccount, debt: number): void {
	account.level = Math.min(account.level, -debt * EVEN_DEBT_PART);
	account.credit = Math.min(account.credit, 0);
	account.isLevelKnown = false;
}

/**
 * Follows a change of the group. Entries that are heard again may have run into all of the debt of their part. Until entries
 * that are no longer heard were noticed, each side took the whole for its own, so what this one spent is laid to its part.
 */
function changeGroup(account: CustomerAccount, group: GroupAllotment): void {
	const {level, recentlySpent} = account;
	const previousPart = account.part;
	if (group.part > previousPart) {
		account.level = level - (group.debt * (1 - (previousPart / group.part)));
	} else if (group.part < previousPart) {
		const keptPart = group.part / previousPart;
		account.level = (keptPart * level) - ((1 - keptPart) * recentlySpent);
	}

	account.part = group.part;
}

/** Lets the bucket refill up to the current time. */
export function refillAccount(account: CustomerAccount, group: GroupAllotment, nowMs: number): void {
	const elapsedMs = Math.max(0, nowMs - account.updatedAtMs);
	account.updatedAtMs = nowMs;
	const refilled = group.ratePerS * elapsedMs / SECOND_MS;
	const share = computeShare(account);
	account.recentlySpent *= Math.exp(-elapsedMs / RECENT_MS);
	changeGroup(account, group);
	account.level = Math.min(group.burst, account.level + refilled);
	account.credit = Math.min(group.burst * share, account.credit + (refilled * share * CREDIT_GROWTH));
	account.demandPerS *= Math.exp(-elapsedMs / DEMAND_AVERAGE_MS);
}

/** Computes the part of the known demand of a customer that arrives at this entry. */
export function computeShare({demandPerS, peerDemandPerS}: CustomerAccount): number {
	return demandPerS <= 0 ? 0 : demandPerS / (demandPerS + peerDemandPerS);
}

/** Returns whether the demand of a customer, as known from all entries, is above its rate. */
export function isSaturated({demandPerS, peerDemandPerS}: CustomerAccount, {ratePerS}: GroupAllotment): boolean {
	return demandPerS + peerDemandPerS > ratePerS * SATURATED_RATIO;
}

/** Adds a request to the demand of a customer. Call {@link refillAccount} first. */
export function recordDemand(account: CustomerAccount, group: GroupAllotment, cost: number): void {
	if (account.demandPerS < group.ratePerS * NO_DEMAND_RATIO) {
		account.credit = Math.min(account.credit, -account.stagger * cost);
	}

	account.demandPerS += cost * SECOND_MS / DEMAND_AVERAGE_MS;
	account.usedAtMs = account.updatedAtMs;
}

/** Returns whether a request may be admitted. Call {@link refillAccount} first. */
export function mayAdmit(account: CustomerAccount, group: GroupAllotment, cost: number): boolean {
	const {level, credit} = account;
	const {debt, burst, largest, isMajority} = group;
	const hasRoom = level >= -debt * EVEN_DEBT_PART && level - cost >= -debt;
	const isFull = isMajority && level >= burst && cost <= largest;
	if (!hasRoom && !isFull) {
		return false;
	}

	const needed = cost > (burst + debt) * SMALL_PART ? cost : 0;
	const isSparse = account.demandPerS + account.peerDemandPerS < cost * SPARSE_PER_S;
	return !isSaturated(account, group) || isSparse || level - needed >= (burst * FREE_BURST_PART) - (debt * EVEN_DEBT_PART) || credit > 0;
}

/** Spends units, here or, with a negative cost, returns them. */
export function recordSpending(account: CustomerAccount, cost: number): void {
	account.level -= cost;
	account.credit = Math.max(account.credit - cost, Math.min(account.credit, -cost));
	account.spent = Math.max(0, account.spent + cost);
	account.recentlySpent = Math.max(0, account.recentlySpent + cost);
	account.unreported += Math.abs(cost);
}

/** Subtracts what a peer has spent, and moves the level towards that of the peer. */
export function mergePeerLevel(account: CustomerAccount, group: GroupAllotment, options: {spent: number; level: number | undefined; entryCount: number}, windowMs: number): void {
	const {spent, level, entryCount} = options;
	account.level -= spent;
	account.recentlySpent += spent;
	if (level !== undefined) {
		account.level = account.isLevelKnown ? account.level + ((level - account.level) * LEVEL_PULL / entryCount) : level;
		account.isLevelKnown = true;
	}

	// What was spent longer ago than the window of the limit no longer counts.
	const lowest = -group.debt - (group.ratePerS * windowMs / SECOND_MS);
	account.level = Math.min(group.burst, Math.max(lowest, account.level));
}

/** Computes when the caller of a refused request may come back, after those who were told so before. */
export function computeReturnMs(account: CustomerAccount, group: GroupAllotment, cost: number): number {
	const {level, updatedAtMs} = account;
	if (group.ratePerS <= 0) {
		return UNHEARD_RETURN_MS;
	}

	if (cost > group.largest) {
		return MAX_RETURN_MS;
	}

	const ratePerMs = group.ratePerS / SECOND_MS;
	const missing = Math.max(0, (-group.debt * EVEN_DEBT_PART) - level, cost - group.debt - level);
	const share = Math.max(computeShare(account), Number.EPSILON);
	const firstMs = updatedAtMs + (missing / ratePerMs);
	account.returnAtMs = Math.min(updatedAtMs + MAX_RETURN_MS, Math.max(firstMs, account.returnAtMs) + (cost / (ratePerMs * share)));
	return Math.max(1, Math.round(account.returnAtMs - updatedAtMs));
}
