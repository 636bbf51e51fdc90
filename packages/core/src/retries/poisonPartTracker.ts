/**
 * Finds poison parts: parts of prompts that crash each target that begins to answer a request with them. Such requests
 * have nothing else in common, and share their other parts with sound requests.
 *
 * A crash names the requests that were waiting for their first bytes on the target. One of their parts caused it. A part
 * is cleared of all crashes before an answer to a request with it was completed. A part that stands in enough crashes is
 * quarantined, and these crashes count against no other part. If several parts stand in the same crashes, only requests
 * with all of them are refused, until a further crash or an answer shows which of them it is: sound requests that have
 * some of them are still served. Entries exchange crashes and cleared parts.
 *
 * A quarantine that was restored from the store names its parts by their hashes, until a request with these parts comes.
 */
import {setNewest} from '@damaskspool/shared';
import {hashPart} from './hashPart.js';
import {createPartHashes} from './partHashes.js';

/** Request that was running on a target when the target crashed: the incarnation of the target, and the parts that other requests may share, in order. */
export type PartCrash = readonly [incarnation: string, partIds: readonly string[]];

/** Quarantine of requests that have all of these parts, as told to peers: how long ago it began, and how long it lasts from then on. */
export type PartQuarantine = readonly [partIds: readonly string[], ageMs: number, durationMs: number];

/** What an entry tells its peers about poison parts. */
export type PoisonPartUpdates = {
	readonly crashes: readonly PartCrash[];
	/** Parts of crashed requests that stand in a completed answer. */
	readonly cleared: readonly string[];
	/** All quarantines. Only complete updates have them: they make up for lost ones, and tell entries that started later. */
	readonly quarantines: readonly PartQuarantine[];
};

/** A quarantine that began, or that ended because answers cleared its parts. */
export type PartDecision = {readonly partIds: readonly string[]; readonly isQuarantined: boolean};

/** Crashes, cleared parts and quarantines as known to one entry. */
export type PoisonPartTracker = {
	/** Records a crash of this entry's own request. */
	readonly recordCrash: (crash: PartCrash, nowMs: number) => readonly PartDecision[];
	/** Quarantines the causes of the crashes whose reports have arrived. To be called several times a second. */
	readonly decide: (nowMs: number) => readonly PartDecision[];
	/** Records a completed answer to a request with these shared parts. */
	readonly recordAnswer: (partIds: readonly string[], nowMs: number) => readonly PartDecision[];
	/** Merges the updates of a peer. */
	readonly merge: (updates: PoisonPartUpdates, nowMs: number) => readonly PartDecision[];
	/** Returns whether a request with these parts must not run. */
	readonly isQuarantined: (partIds: readonly string[], nowMs: number) => boolean;
	/** Lists the quarantines that count still: active ones, and ended ones that a single crash renews. Parts are named by their hashes. */
	readonly listQuarantines: (nowMs: number) => readonly PartQuarantine[];
	/** Takes over quarantines in the form of `listQuarantines`. Parts that were answered since the start are cleared, as by any answer. */
	readonly restore: (quarantines: readonly PartQuarantine[], nowMs: number) => readonly PartDecision[];
	/** Returns the crashes and cleared parts that peers were not told yet. With `isComplete`, repeats the latest crashes and adds all quarantines. */
	readonly takeUpdates: (nowMs: number, isComplete: boolean) => PoisonPartUpdates;
};

/** Number of crashes after which a part that was never answered is quarantined. */
const MAX_CRASHES = 3;
/** Number of crashes after which a part that was answered before is quarantined: as many as users allow, since it was probably running beside the cause. */
const MAX_CRASHES_OF_ANSWERED_PART = 5;
/** Time after a crash in which peers report what else the target was running. Before that, a bystander may look like the cause. */
const SETTLING_MS = 600;
/** Time for which a crash counts. */
const CRASH_RETENTION_MS = 600_000;
/** Duration of the first quarantine of a part. It doubles each time the part crashes a target after the end of its quarantine. */
const QUARANTINE_MS = 120_000;
/** Longest quarantine. */
export const MAX_QUARANTINE_MS = 3_600_000;
/** Time for which the store keeps a quarantine, in durations of it. */
const RENEWABLE_DURATIONS = 2;
/** Time for which complete updates repeat a crash: several of them, so that one that is lost makes no difference. */
const RESEND_MS = 4000;
/** Maximum number of crashes that complete updates repeat. They must fit into one datagram together with reports of other entries. */
const MAX_RESENT_CRASHES = 32;
/** Maximum number of retained crashes, of requests in one crash, and of quarantines. The oldest are dropped first. */
const MAX_RETAINED_CRASHES = 64;
const MAX_REQUESTS_PER_CRASH = 64;
export const MAX_QUARANTINES = 64;
/** Maximum number of parts whose last answer is remembered. The part whose last answer is the oldest is dropped first. */
const MAX_ANSWERED_PARTS = 8192;

type Crash = {readonly atMs: number; readonly requests: Array<readonly string[]>};
type Quarantine = {readonly partIds: readonly string[]; readonly sinceMs: number; readonly durationMs: number};
type Suspect = {readonly partId: string; readonly crashes: Crash[]; readonly wasAnswered: boolean};

/** Creates a tracker that knows no crash. */
export function createPoisonPartTracker(): PoisonPartTracker {
	const crashes = new Map<string, Crash>();
	const answeredAtMs = new Map<string, number>();
	let quarantines: readonly Quarantine[] = [];
	const partHashes = createPartHashes();
	/** Causes that are not quarantined yet, because reports of peers may still show another one. Requests that have all parts of one are refused meanwhile. */
	let unsettledCauses: readonly string[][] = [];
	let localCrashes: Array<{readonly crash: PartCrash; readonly atMs: number; isPending: boolean}> = [];
	const pendingCleared = new Set<string>();

	const isClearedSince = (partId: string, atMs: number) => (answeredAtMs.get(partId) ?? Number.NEGATIVE_INFINITY) >= atMs;

	/** Replaces hashes in restored quarantines by the parts that they stand for. */
	const resolveParts = (partIds: Iterable<string>, nowMs: number) => {
		const named = partHashes.takeNamed(partIds, nowMs);
		if (named.size > 0) {
			quarantines = quarantines.map(quarantine => ({...quarantine, partIds: quarantine.partIds.map(partId => named.get(partId) ?? partId)}));
		}
	};

	/** Groups crashes by the parts that may have caused them, the most probable cause first. */
	const listSuspects = (candidates: ReadonlySet<Crash>): Suspect[] => {
		const suspects = new Map<string, Suspect>();
		for (const crash of candidates) {
			for (const partId of new Set(crash.requests.flat())) {
				if (isClearedSince(partId, crash.atMs)) {
					continue;
				}

				const suspect = suspects.get(partId) ?? {partId, crashes: [], wasAnswered: answeredAtMs.has(partId)};
				suspect.crashes.push(crash);
				suspects.set(partId, suspect);
			}
		}

		return [...suspects.values()].filter(({crashes, wasAnswered}) => crashes.length >= (wasAnswered ? MAX_CRASHES_OF_ANSWERED_PART : MAX_CRASHES)).toSorted(compareSuspects);
	};

	/** Lists the parts that stand together with a suspect in each of its crashes and are as probable a cause. */
	const listInseparableParts = (suspect: Suspect): string[] => {
		const partIdsByCrash = suspect.crashes.map(({atMs, requests}) => new Set(requests
			.filter(partIds => partIds.includes(suspect.partId))
			.flatMap(partIds => partIds.filter(partId => !isClearedSince(partId, atMs) && answeredAtMs.has(partId) === suspect.wasAnswered))));
		return [...partIdsByCrash[0] ?? []].filter(partId => partIdsByCrash.every(partIds => partIds.has(partId)));
	};

	/** Returns whether a part that is quarantined by itself caused a crash. */
	const isExplained = ({requests}: Crash) => quarantines.some(({partIds: [partId, ...others]}) =>
		partId !== undefined && others.length === 0 && requests.some(partIds => partIds.includes(partId)));

	/** Lists the most probable causes of these crashes. Each is a set of parts of which one is the cause. */
	const listCauses = (candidates: readonly Crash[]): string[][] => {
		const causes: string[][] = [];
		const unexplained = new Set(candidates.filter(crash => !isExplained(crash)));
		for (let [culprit] = listSuspects(unexplained); culprit !== undefined; [culprit] = listSuspects(unexplained)) {
			causes.push(listInseparableParts(culprit));
			for (const crash of culprit.crashes) {
				unexplained.delete(crash);
			}
		}

		return causes;
	};

	const updateUnsettledCauses = () => {
		unsettledCauses = listCauses([...crashes.values()]).filter(partIds => !quarantines.some(known => hasAll(partIds, known.partIds)));
	};

	/** Adds a quarantine, which replaces those that it narrows down. */
	const addQuarantine = (quarantine: Quarantine) => {
		quarantines = [...quarantines.filter(known => !hasAll(known.partIds, quarantine.partIds)), quarantine].slice(-MAX_QUARANTINES);
	};

	/** Quarantines the causes of settled crashes that are not quarantined yet. */
	const decide = (nowMs: number): PartDecision[] => {
		const decisions: PartDecision[] = [];
		for (const partIds of listCauses([...crashes.values()].filter(({atMs}) => nowMs - atMs >= SETTLING_MS))) {
			if (!quarantines.some(known => hasAll(partIds, known.partIds))) {
				addQuarantine({partIds, sinceMs: nowMs, durationMs: QUARANTINE_MS});
				decisions.push({partIds, isQuarantined: true});
			}
		}

		updateUnsettledCauses();
		return decisions;
	};

	/** Renews quarantines that have ended before a request that they would have refused crashed a target. */
	const renewQuarantines = (partIds: readonly string[], nowMs: number): PartDecision[] => {
		const decisions: PartDecision[] = [];
		quarantines = quarantines.map(quarantine => {
			if (isActive(quarantine, nowMs) || !hasAll(partIds, quarantine.partIds)) {
				return quarantine;
			}

			decisions.push({partIds: quarantine.partIds, isQuarantined: true});
			return {...quarantine, sinceMs: nowMs, durationMs: Math.min(MAX_QUARANTINE_MS, 2 * quarantine.durationMs)};
		});
		return decisions;
	};

	const applyCrash = ([incarnation, partIds]: PartCrash, nowMs: number): PartDecision[] => {
		resolveParts(partIds, nowMs);
		for (const [key, {atMs}] of crashes) {
			if (nowMs - atMs > CRASH_RETENTION_MS) {
				crashes.delete(key);
			}
		}

		const knownCrash = crashes.get(incarnation);
		const crash = knownCrash ?? {atMs: nowMs, requests: []};
		if (knownCrash === undefined) {
			setNewest(crashes, {key: incarnation, value: crash, maxSize: MAX_RETAINED_CRASHES});
		}

		if (crash.requests.length < MAX_REQUESTS_PER_CRASH && !crash.requests.some(known => known.join(',') === partIds.join(','))) {
			crash.requests.push(partIds);
		}

		return renewQuarantines(partIds, nowMs);
	};

	/** Clears a part of the crashes up to now, so that the cause is one of the other parts of its quarantine. */
	const clear = (partId: string, nowMs: number): PartDecision[] => {
		resolveParts([partId], nowMs);
		setNewest(answeredAtMs, {key: partId, value: nowMs, maxSize: MAX_ANSWERED_PARTS});
		unsettledCauses = unsettledCauses.filter(partIds => !partIds.includes(partId));
		const affected = quarantines.filter(({partIds}) => partIds.includes(partId));
		if (affected.length === 0) {
			return [];
		}

		quarantines = quarantines
			.map(quarantine => affected.includes(quarantine) ? {...quarantine, partIds: quarantine.partIds.filter(other => other !== partId)} : quarantine)
			.filter(({partIds}) => partIds.length > 0);
		return affected.filter(({partIds}) => partIds.length === 1).map(({partIds}) => ({partIds, isQuarantined: false}));
	};

	const isSuspectInCrash = (partId: string) =>
		[...crashes.values()].some(({requests, atMs}) => !isClearedSince(partId, atMs) && requests.some(partIds => partIds.includes(partId)));

	const isSuspect = (partId: string) => quarantines.some(({partIds}) => partIds.includes(partId)) || isSuspectInCrash(partId);

	/** Returns whether a part was answered after every known crash of a request with it. */
	const isSound = (partId: string) => answeredAtMs.has(partId) && !isSuspectInCrash(partId);

	/** Adopts a quarantine of a peer if this entry knows less of its parts. Tells peers which of them are sound. */
	const applyQuarantine = ([reportedIds, ageMs, durationMs]: PartQuarantine, nowMs: number): PartDecision[] => {
		resolveParts(reportedIds, nowMs);
		const soundIds = reportedIds.filter(partId => isSound(partId));
		for (const partId of soundIds) {
			pendingCleared.add(partId);
		}

		const partIds = reportedIds.filter(partId => !soundIds.includes(partId));
		const isKnown = quarantines.some(known => isActive(known, nowMs) && hasAll(partIds, known.partIds));
		if (partIds.every(partId => answeredAtMs.has(partId)) || isKnown || ageMs >= durationMs) {
			return [];
		}

		addQuarantine({partIds, sinceMs: nowMs - ageMs, durationMs});
		return [{partIds, isQuarantined: true}];
	};

	/** Lists the active quarantines that peers are told. Peers read those with hashes from the store. */
	const listReportable = (nowMs: number): PartQuarantine[] => quarantines
		.filter(quarantine => isActive(quarantine, nowMs) && !quarantine.partIds.some(partId => partHashes.isUnnamed(partId)))
		.map(({partIds, sinceMs, durationMs}) => [partIds, Math.round(nowMs - sinceMs), durationMs]);

	/** Adds an ended quarantine that a crash renews, unless this entry knows more of one of its parts. */
	const restoreEnded = ([partIds, ageMs, durationMs]: PartQuarantine, nowMs: number) => {
		if (!partIds.some(partId => answeredAtMs.has(partId) || quarantines.some(known => known.partIds.includes(partId)))) {
			addQuarantine({partIds, sinceMs: nowMs - ageMs, durationMs});
		}
	};

	return {
		recordCrash(crash, nowMs) {
			localCrashes = [...localCrashes, {crash, atMs: nowMs, isPending: true}].slice(-MAX_RESENT_CRASHES);
			const decisions = applyCrash(crash, nowMs);
			updateUnsettledCauses();
			return decisions;
		},
		decide: nowMs => crashes.size === 0 ? [] : decide(nowMs),
		recordAnswer(partIds, nowMs) {
			resolveParts(partIds, nowMs);
			for (const partId of partIds) {
				if (isSuspect(partId)) {
					pendingCleared.add(partId);
				}
			}

			return partIds.flatMap(partId => clear(partId, nowMs));
		},
		merge({crashes: reported, cleared, quarantines: reportedQuarantines}, nowMs) {
			const decisions = [
				...reported.flatMap(crash => applyCrash(crash, nowMs)),
				...cleared.flatMap(partId => clear(partId, nowMs)),
				...reportedQuarantines.flatMap(quarantine => applyQuarantine(quarantine, nowMs)),
			];
			if (reported.length > 0 || decisions.length > 0) {
				updateUnsettledCauses();
			}

			return decisions;
		},
		isQuarantined(partIds, nowMs) {
			resolveParts(partIds, nowMs);
			return unsettledCauses.some(cause => hasAll(partIds, cause))
				|| quarantines.some(quarantine => isActive(quarantine, nowMs) && hasAll(partIds, quarantine.partIds));
		},
		listQuarantines: nowMs => quarantines.filter(quarantine => isRenewable(quarantine, nowMs)).map(({partIds, sinceMs, durationMs}) =>
			[partIds.map(partId => partHashes.toHash(partId)), Math.round(nowMs - sinceMs), durationMs]),
		restore(stored, nowMs) {
			if (stored.length === 0) {
				return [];
			}

			const heardIds = [...answeredAtMs.keys(), ...[...crashes.values()].flatMap(({requests}) => requests.flat()), ...quarantines.flatMap(({partIds}) => partIds)];
			const heardIdByHash = new Map(heardIds.map(partId => [hashPart(partId), partId]));
			const decisions: PartDecision[] = [];
			for (const [hashes, ageMs, durationMs] of stored) {
				for (const hash of hashes.filter(partHash => !heardIdByHash.has(partHash))) {
					partHashes.addUnnamed(hash, nowMs - ageMs + (RENEWABLE_DURATIONS * durationMs));
				}

				const quarantine: PartQuarantine = [hashes.map(hash => heardIdByHash.get(hash) ?? hash), ageMs, durationMs];
				if (ageMs < durationMs) {
					decisions.push(...applyQuarantine(quarantine, nowMs));
				} else {
					restoreEnded(quarantine, nowMs);
				}
			}

			updateUnsettledCauses();
			return decisions;
		},
		takeUpdates(nowMs, isComplete) {
			localCrashes = localCrashes.filter(({atMs, isPending}) => isPending || nowMs - atMs <= RESEND_MS);
			const updates: PoisonPartUpdates = {
				crashes: localCrashes.filter(({isPending}) => isComplete || isPending).map(({crash}) => crash),
				cleared: [...pendingCleared],
				quarantines: isComplete ? listReportable(nowMs) : [],
			};
			for (const local of localCrashes) {
				local.isPending = false;
			}

			pendingCleared.clear();
			return updates;
		},
	};
}

function isActive({sinceMs, durationMs}: Quarantine, nowMs: number): boolean {
	return nowMs < sinceMs + durationMs;
}

/** Returns whether the store keeps a quarantine, so that a crash renews it also after all entries ended. */
function isRenewable({sinceMs, durationMs}: Quarantine, nowMs: number): boolean {
	return nowMs < sinceMs + (RENEWABLE_DURATIONS * durationMs);
}

function hasAll(partIds: readonly string[], required: readonly string[]): boolean {
	return required.every(partId => partIds.includes(partId));
}

/**
 * Orders suspects, the most probable cause first: a part that was never answered, then one of more crashes. The
 * identifier makes all entries choose alike.
 */
function compareSuspects(left: Suspect, right: Suspect): number {
	return Number(left.wasAnswered) - Number(right.wasAnswered)
		|| right.crashes.length - left.crashes.length
		|| (left.partId < right.partId ? -1 : 1);
}
