/**
 * Decides whether a request is within the allotment of its customer, which holds for all entries together, and exchanges
 * with peers what each has spent. See docs/design/0017.
 */
import {roundSignificant, SECOND_MS} from '@damaskspool/shared';
import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';
import {type AllotmentRecord, type AllotmentTolerance} from './allotmentRecord.js';
import {
	computeGroupAllotment, computeReturnMs, computeShare, createAccount, type CustomerAccount, DEMAND_AVERAGE_MS, type GroupAllotment, isSaturated,
	mayAdmit, mergePeerLevel, recordDemand, recordSpending, refillAccount, resetLevel,
} from './customerAccount.js';
import {createEntryGroup, type GroupStanding} from './entryGroup.js';

/** What an entry tells its peers about one customer: units spent since the start of its process, units left, and demand per second. */
export type ReportedAllotment = readonly [customerId: string, spent: number, level: number, demandPerS: number];

/** Use of an allotment, for logs and metrics. */
export type AllotmentUse = {
	readonly customerId: string;
	readonly unit: string;
	readonly spent: number;
	readonly refusedCount: number;
	/** Part of the known demand of the customer that arrives at this entry. */
	readonly share: number;
	readonly level: number;
};

/** Outcome of {@link Allotments.take}. */
export type AllotmentDecision
	= | {readonly isAdmitted: true; readonly cost: number}
		| {readonly isAdmitted: false; readonly retryAfterMs: number; readonly detail: Readonly<Record<string, unknown>>};

/** A peer's report, as far as it concerns allotments. */
export type AllotmentReport = {
	readonly entryId: string;
	readonly processId: string;
	readonly allotments: readonly ReportedAllotment[];
	/** Whether no later report of the same process has arrived. */
	readonly isLatest: boolean;
};

/** Allotments of all customers, as known to one entry. */
export type Allotments = {
	/** Sets the limits of a configuration. Customers without one are not limited. */
	readonly setLimits: (limits: ReadonlyMap<string, AllotmentRecord>, nowMs: number) => void;
	readonly findLimit: (customerId: string | undefined) => AllotmentRecord | undefined;
	/** Admits and charges a request, or tells when its caller may come back. */
	readonly take: (customerId: string, cost: number, nowMs: number) => AllotmentDecision;
	/** Returns the charge of a request that did not run. */
	readonly release: (customerId: string, cost: number, nowMs: number) => void;
	/** Merges the report of a peer. Returns the number of items that were ignored because they are not possible. */
	readonly merge: (report: AllotmentReport, nowMs: number) => number;
	readonly setRegisteredPeers: (peerIds: readonly string[], nowMs: number) => void;
	/** Records that this process did not run for a time: nothing is known of what peers have spent meanwhile. */
	readonly recordSuspension: (nowMs: number) => void;
	/** Forgets what is no longer needed. Must be called at intervals well below a second. Returns false if this process did not run for a time. */
	readonly expire: (nowMs: number) => boolean;
	/** Returns what is told to peers: what matters to their decisions now, or the use of all customers if `isComplete`. */
	readonly takeUpdates: (nowMs: number, isComplete: boolean) => readonly ReportedAllotment[];
	/** Lists the customers with the most refusals and use. */
	readonly listUse: (limit: number) => readonly AllotmentUse[];
	readonly computeStanding: (nowMs: number) => GroupStanding;
};

/** Maximum number of customers in one report. */
const MAX_REPORTED_CUSTOMERS = 64;
/** Part of the debt, divided by the number of entries, which an entry may spend before it tells its peers. */
const UNREPORTED_DEBT_PART = 0.25;
/** Part of the burst below which all spending is reported at once. */
const LOW_LEVEL_PART = 0.5;
/** Time without requests after which an account is no longer reported. */
const ACTIVE_MS = 5000;
/** Time for which the use of a peer is kept, and a longer one for an account: its sum may begin at zero only after peers have forgotten it. */
const PEER_RETAINED_MS = 60_000;
const RETAINED_MS = 180_000;
/** Time without news after which the demand of a peer no longer counts. */
const PEER_DEMAND_MS = 3000;
/** Time between two events above which the process counts as suspended. */
const PAUSE_MS = 1000;
/** Silence, in timeouts, up to which spending of a peer that is heard again counts. A longer one was in another group. */
const COUNTED_SILENCE_TIMEOUTS = 2;

/** Tolerance of a deployment that states none. */
const DEFAULT_TOLERANCE: AllotmentTolerance = {windowMs: 10_000, overage: 0, slack: 0};

/** Creates the allotments of an entry that has just started, without limits. */
export function createAllotments({entryId, tolerance = DEFAULT_TOLERANCE}: {entryId: string; tolerance?: AllotmentTolerance | undefined}): Allotments {
	const group = createEntryGroup();
	const accounts = new Map<string, CustomerAccount>();
	const dirtyCustomers = new Set<string>();
	let limits: ReadonlyMap<string, AllotmentRecord> = new Map();
	/** Times since which customers have a limit. */
	let limitedSinceMs: ReadonlyMap<string, number> = new Map();
	let suspendedAtMs = Number.NEGATIVE_INFINITY;
	let seenAtMs: number | undefined;

	const getGroupAllotment = (allotment: AllotmentRecord, nowMs: number) => computeGroupAllotment(allotment, group.computeStanding(nowMs), tolerance);

	/** Returns the refilled account of a customer with a limit. */
	const getAccount = (customerId: string, allotment: AllotmentRecord, nowMs: number): {account: CustomerAccount; groupAllotment: GroupAllotment} => {
		const groupAllotment = getGroupAllotment(allotment, nowMs);
		const account = accounts.get(customerId) ?? createAccount({
			customerId,
			allotment,
			group: groupAllotment,
			stagger: hashIdentifier(`${entryId}/${customerId}`) / HASH_RANGE,
			refillsFromMs: Math.max(limitedSinceMs.get(customerId) ?? nowMs, suspendedAtMs),
			nowMs,
		});
		accounts.set(customerId, account);
		account.allotment = allotment;
		refillAccount(account, groupAllotment, nowMs);
		return {account, groupAllotment};
	};

	const sumPeerDemand = (account: CustomerAccount, nowMs: number): void => {
		let sum = 0;
		for (const [peerId, use] of account.peers) {
			if (nowMs - use.reportedAtMs <= PEER_DEMAND_MS && group.isLive(peerId, nowMs)) {
				sum += use.demandPerS;
			}
		}

		account.peerDemandPerS = sum;
	};

	const mergeItem = ({entryId: peerId, processId, isLatest}: AllotmentReport, silentMs: number, item: ReportedAllotment, nowMs: number): void => {
		const [customerId, spent, level, demandPerS] = item;
		const allotment = limits.get(customerId);
		if (allotment === undefined) {
			return;
		}

		const {account, groupAllotment} = getAccount(customerId, allotment, nowMs);
		const known = account.peers.get(peerId);
		const isSameProcess = known?.processId === processId;
		if (!isLatest && known !== undefined && !isSameProcess) {
			// A report of an earlier process was overtaken by one of the present process.
			return;
		}

		const timeoutMs = group.getTimeoutMs();
		const wasHeard = silentMs <= timeoutMs * COUNTED_SILENCE_TIMEOUTS;
		// Of a process that is new here, only what it spent lately counts.
		const news = isSameProcess ? Math.max(0, spent - known.spent) : Math.min(spent, demandPerS * DEMAND_AVERAGE_MS / SECOND_MS);
		const {entryCount} = group.computeStanding(nowMs);
		// A peer that was silent had a part of its own meanwhile, which this group did not use.
		const ownPart = silentMs > timeoutMs ? allotment.ratePerS * silentMs / SECOND_MS / entryCount : 0;
		mergePeerLevel(account, groupAllotment, {
			spent: wasHeard ? Math.max(0, news - ownPart) : 0,
			level: isLatest && wasHeard ? level : undefined,
			entryCount,
		}, tolerance.windowMs);
		const use = {
			processId,
			spent: isSameProcess ? Math.max(known.spent, spent) : spent,
			demandPerS: isLatest || known === undefined ? demandPerS : known.demandPerS,
			reportedAtMs: nowMs,
		};
		account.peers.set(peerId, use);
		account.peerDemandPerS = Math.max(0, account.peerDemandPerS + use.demandPerS - (known?.demandPerS ?? 0));
		if (news > 0) {
			account.usedAtMs = nowMs;
		}
	};

	const recordSuspension = (nowMs: number) => {
		group.recordSuspension(nowMs);
		suspendedAtMs = nowMs;
		for (const account of accounts.values()) {
			const {debt} = getGroupAllotment(account.allotment, nowMs);
			account.updatedAtMs = nowMs;
			resetLevel(account, debt);
		}
	};

	/** Counts a long pause since the last event as a suspension, also where the first event after it is a request. Returns whether there was none. */
	const checkPause = (nowMs: number): boolean => {
		const hasPaused = seenAtMs !== undefined && nowMs - seenAtMs > PAUSE_MS;
		seenAtMs = nowMs;
		if (hasPaused) {
			recordSuspension(nowMs);
		}

		return !hasPaused;
	};

	const isWorthReporting = (account: CustomerAccount, nowMs: number): boolean => {
		const groupAllotment = getGroupAllotment(account.allotment, nowMs);
		const quantum = groupAllotment.debt * UNREPORTED_DEBT_PART / group.computeStanding(nowMs).entryCount;
		return account.unreported > quantum || account.level < groupAllotment.burst * LOW_LEVEL_PART || isSaturated(account, groupAllotment);
	};

	return {
		setLimits(newLimits, nowMs) {
			limits = newLimits;
			limitedSinceMs = new Map([...limits.keys()].map(customerId => [customerId, limitedSinceMs.get(customerId) ?? nowMs]));
			for (const customerId of accounts.keys()) {
				const allotment = limits.get(customerId);
				if (allotment !== undefined) {
					getAccount(customerId, allotment, nowMs);
				}
			}
		},
		findLimit: customerId => customerId === undefined ? undefined : limits.get(customerId),
		take(customerId, cost, nowMs) {
			const allotment = limits.get(customerId);
			if (allotment === undefined) {
				return {isAdmitted: true, cost: 0};
			}

			checkPause(nowMs);

			const {account, groupAllotment} = getAccount(customerId, allotment, nowMs);
			sumPeerDemand(account, nowMs);
			recordDemand(account, groupAllotment, cost);
			dirtyCustomers.add(customerId);
			if (mayAdmit(account, groupAllotment, cost)) {
				recordSpending(account, cost);
				return {isAdmitted: true, cost};
			}

			account.refusedCount += 1;
			return {
				isAdmitted: false,
				retryAfterMs: computeReturnMs(account, groupAllotment, cost),
				detail: {
					customer: customerId,
					cost,
					level: roundSignificant(account.level),
					credit: roundSignificant(account.credit),
					share: roundSignificant(computeShare(account)),
					part: roundSignificant(group.computeStanding(nowMs).part),
					ratePerS: allotment.ratePerS,
				},
			};
		},
		release(customerId, cost, nowMs) {
			const allotment = limits.get(customerId);
			if (allotment !== undefined && cost > 0) {
				const {account, groupAllotment} = getAccount(customerId, allotment, nowMs);
				recordSpending(account, -cost);
				account.level = Math.min(groupAllotment.burst, account.level);
			}
		},
		merge(report, nowMs) {
			checkPause(nowMs);
			const silentMs = report.isLatest ? group.recordReport(report.entryId, nowMs) : 0;
			let ignoredCount = 0;
			for (const item of report.allotments) {
				if (item.slice(1).every(value => Number.isFinite(value)) && Number(item[1]) >= 0 && item[3] >= 0) {
					mergeItem(report, silentMs, item, nowMs);
				} else {
					ignoredCount += 1;
				}
			}

			return ignoredCount;
		},
		setRegisteredPeers: group.setRegistered,
		recordSuspension,
		expire(nowMs) {
			const hasRun = checkPause(nowMs);
			for (const [customerId, account] of accounts) {
				if (nowMs - account.usedAtMs > RETAINED_MS) {
					accounts.delete(customerId);
					dirtyCustomers.delete(customerId);
				}

				for (const [peerId, {reportedAtMs}] of account.peers) {
					if (nowMs - reportedAtMs > PEER_RETAINED_MS) {
						account.peers.delete(peerId);
					}
				}
			}

			return hasRun;
		},
		takeUpdates(nowMs, isComplete) {
			const candidates = isComplete
				? [...accounts.values()].filter(({usedAtMs}) => nowMs - usedAtMs <= ACTIVE_MS)
				: [...dirtyCustomers].map(customerId => accounts.get(customerId)).filter(account => account !== undefined && isWorthReporting(account, nowMs)) as CustomerAccount[];
			const selected = candidates.length <= MAX_REPORTED_CUSTOMERS
				? candidates
				: candidates.toSorted((left, right) => left.reportedAtMs - right.reportedAtMs).slice(0, MAX_REPORTED_CUSTOMERS);
			return selected.map((account): ReportedAllotment => {
				refillAccount(account, getGroupAllotment(account.allotment, nowMs), nowMs);
				account.unreported = 0;
				account.reportedAtMs = nowMs;
				dirtyCustomers.delete(account.customerId);
				return [account.customerId, Math.round(account.spent), roundSignificant(account.level), roundSignificant(account.demandPerS)];
			});
		},
		listUse: limit => [...accounts.values()]
			.filter(({spent, refusedCount}) => spent > 0 || refusedCount > 0)
			.toSorted((left, right) => right.refusedCount - left.refusedCount || right.spent - left.spent)
			.slice(0, limit)
			.map(account => ({
				customerId: account.customerId,
				unit: account.allotment.unit,
				spent: Math.round(account.spent),
				refusedCount: account.refusedCount,
				share: roundSignificant(computeShare(account)),
				level: roundSignificant(account.level),
			})),
		computeStanding: group.computeStanding,
	};
}
