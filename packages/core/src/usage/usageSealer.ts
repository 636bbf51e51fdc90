/**
 * How the holder of a usage duty seals windows and reports them. Each step is
 * one call, and every step may be done again by anybody: what a step finds done
 * it leaves as it is. A call that fails ends the pass; the next begins anew.
 */
import {
	type AttemptUsage, toLedgerKey, toLedgerNamePrefix, toOrphansPrefix, toPartKey, toProgressKey, toSealKey, type UsageLedger,
	usageLedgerSchema, usageOrphansSchema, usagePartSchema, type UsageProgress, usageProgressSchema, type UsageRow, type UsageSeal,
	usageSealSchema,
} from '@damaskspool/shared';
import {countMissingSequences} from './sequenceRanges.js';
import {
	type CallUsage, type UsageCall, type UsageObject, type UsageReply,
} from './usageCalls.js';
import {mergeUsageRows, sumUsageCounts, type UsageSums} from './usageCounts.js';
import {
	createUsageLedger, planFrozenLedger, isAccounted, toStoredLedger,
} from './usageLedger.js';
import {findUsageWindow, planUsageParts} from './usageWindows.js';

/** Windows after its last change at which a ledger's missing attempts are given up and declared. */
const DECLARE_AFTER_WINDOWS = 2;
/** Windows after its last change at which a ledger is removed; sidecars have long stored their part. */
const REMOVE_AFTER_WINDOWS = 200;
/** Longest wait for the intake's reply. */
const REPORT_DEADLINE_MS = 2000;
/** Kept between a report's deadline and the end of the authority, for a call that is slow to end. */
const REPORT_MARGIN_MS = 250;

/** Right to report for the region, as the lease gives it now. */
export type UsageAuthority = {
	readonly epoch: number;
	readonly remainingMs: number;
};

type SealerPhase
	= | 'idle' | 'readProgress' | 'listNames' | 'listOrphans' | 'readLedger' | 'readEarlierSeal' | 'nameLedger' | 'writeLedger'
		| 'removeLedger' | 'removeName' | 'writePart' | 'writeSeal' | 'removeOrphans' | 'writeProgress' | 'readSeal' | 'readPart' | 'report';

/** What is gathered while one window is sealed. */
type SealingPass = {
	readonly window: number;
	/** Sources of earlier seals, by window. */
	readonly sourcesByWindow: Map<number, ReadonlySet<string>>;
	nameVersions: Map<string, number>;
	ledgerIds: string[];
	orphanObjects: Array<{readonly key: string; readonly version: number; readonly attempts: readonly AttemptUsage[]}>;
	ledger: UsageLedger;
	ledgerVersion: number;
	sums: UsageSums;
	sources: string[];
	unaccounted: UsageSeal['unaccounted'];
	/** Attempts of sidecars that are in some ledger now, as `ledger;sequence`. */
	resolved: Set<string>;
	/** Names this pass's parts, so that they never mix with those of another. */
	readonly sealId: string;
	parts: UsageRow[][];
	partIndex: number;
};

/** State of the duty's work. */
export type UsageSealerState = {
	readonly region: string;
	readonly instanceId: string;
	readonly runId: string;
	readonly windowMs: number;
	/** Wait after a window's end for counts that are still under way. */
	readonly graceMs: number;
	phase: SealerPhase;
	callId: string;
	callCount: number;
	wallMs: number;
	progress: UsageProgress;
	progressVersion: number;
	pass: SealingPass | undefined;
	reporting: {seal: UsageSeal; partIndex: number} | undefined;
};

/** Options of {@link createUsageSealerState}. */
export type UsageSealerOptions = Pick<UsageSealerState, 'region' | 'instanceId' | 'runId' | 'windowMs' | 'graceMs'>;

/** What a step may use. */
export type SealerContext = {
	readonly nowMs: number;
	/** Undefined where the duty is not held now. */
	readonly authority: UsageAuthority | undefined;
};

/**
 * Creates the state of a process that seals nothing.
 *
 * @param options - region, identity and lengths
 * @returns the state
 */
export function createUsageSealerState(options: UsageSealerOptions): UsageSealerState {
	return {
		...options,
		phase: 'idle',
		callId: '',
		callCount: 0,
		wallMs: 0,
		progress: {sealedThrough: 0, reportedThrough: 0},
		progressVersion: 0,
		pass: undefined,
		reporting: undefined,
	};
}

/**
 * Begins a pass where the duty is held and none is under way.
 *
 * @param state - sealer to change
 * @param wallMs - time since the epoch, by which windows end
 * @param context - authority and time
 * @returns calls to make
 */
export function advanceSealer(state: UsageSealerState, wallMs: number, context: SealerContext): CallUsage[] {
	if (context.authority === undefined) {
		endPass(state);
		return [];
	}

	state.wallMs = wallMs;
	return state.phase === 'idle'
		? startCall(state, 'readProgress', {kind: 'read', key: toProgressKey(state.region)})
		: [];
}

/**
 * Takes the reply to the pass's call.
 *
 * @param state - sealer to change
 * @param callId - the call
 * @param reply - what became of it
 * @param context - authority and time
 * @returns calls to make
 */
export function applySealerReply(state: UsageSealerState, callId: string, reply: UsageReply, context: SealerContext): CallUsage[] {
	if (state.callId !== callId || state.phase === 'idle') {
		return [];
	}

	if (context.authority === undefined || reply.status === 'failed') {
		endPass(state);
		return [];
	}

	const handle = REPLY_HANDLERS[state.phase];
	return handle(state, reply, {...context, authority: context.authority});
}

type HeldContext = SealerContext & {readonly authority: UsageAuthority};
type ReplyHandler = (state: UsageSealerState, reply: UsageReply, context: HeldContext) => CallUsage[];

const REPLY_HANDLERS: Readonly<Record<Exclude<SealerPhase, 'idle'>, ReplyHandler>> = {
	readProgress(state, reply) {
		const found = reply.status === 'ok' ? usageProgressSchema.safeParse(reply.value).data : undefined;
		state.progressVersion = reply.status === 'ok' ? reply.version ?? 0 : 0;
		if (found === undefined) {
			// Stored before anything is sealed, so that all who seal begin with the same window and go on in order.
			const before = findLastWindow(state) - state.windowMs;
			return writeProgress(state, {sealedThrough: before, reportedThrough: before});
		}

		state.progress = found;
		return startNextMatter(state);
	},

	listNames(state, reply) {
		const pass = getPass(state);
		const prefix = toLedgerNamePrefix(state.region);
		pass.nameVersions = new Map(listObjects(reply).map(({key, version}) => [key.slice(prefix.length), version]));
		pass.ledgerIds = [...pass.nameVersions.keys()];
		return startCall(state, 'listOrphans', {kind: 'list', prefix: toOrphansPrefix(state.region)});
	},

	listOrphans(state, reply) {
		const pass = getPass(state);
		pass.orphanObjects = listObjects(reply).flatMap(({key, version, value}) => {
			const {data} = usageOrphansSchema.safeParse(value);
			return data === undefined ? [] : [{key, version, attempts: data.attempts}];
		});
		const named = pass.orphanObjects.flatMap(({attempts}) => attempts.map(({ledgerId}) => ledgerId));
		pass.ledgerIds = [...new Set([...pass.ledgerIds, ...named])];
		return readNextLedger(state);
	},

	readLedger(state, reply) {
		const pass = getPass(state);
		const found = reply.status === 'ok' ? usageLedgerSchema.safeParse(reply.value).data : undefined;
		pass.ledger = found ?? createUsageLedger(pass.ledgerIds[0]!);
		pass.ledgerVersion = reply.status === 'ok' ? reply.version ?? 0 : 0;
		const earlier = pass.ledger.frozen.find(({window}) => window < pass.window && !pass.sourcesByWindow.has(window));
		return earlier === undefined
			? startFreeze(state)
			: startCall(state, 'readEarlierSeal', {kind: 'read', key: toSealKey(state.region, earlier.window)});
	},

	readEarlierSeal(state, reply) {
		const pass = getPass(state);
		const earlier = pass.ledger.frozen.find(({window}) => !pass.sourcesByWindow.has(window))!;
		const seal = reply.status === 'ok' ? usageSealSchema.safeParse(reply.value).data : undefined;
		pass.sourcesByWindow.set(earlier.window, new Set(seal?.sources));
		return startFreeze(state);
	},

	nameLedger: state => writeFrozen(state),

	writeLedger(state, reply) {
		if (reply.status === 'conflict') {
			return readNextLedger(state);
		}

		return applyLedger(state);
	},

	removeLedger(state) {
		const {ledger, nameVersions} = getPass(state);
		const key = `${toLedgerNamePrefix(state.region)}${ledger.ledgerId}`;
		return startCall(state, 'removeName', {kind: 'remove', key, version: nameVersions.get(ledger.ledgerId) ?? 0});
	},

	removeName: state => advanceLedger(state),

	writePart(state) {
		getPass(state).partIndex += 1;
		return writeNextPart(state);
	},

	// A conflict says that somebody else sealed the window, with the same right; their figures stand.
	writeSeal: state => removeNextOrphans(state),

	removeOrphans(state) {
		getPass(state).orphanObjects.shift();
		return removeNextOrphans(state);
	},

	writeProgress(state, reply) {
		if (reply.status !== 'ok') {
			endPass(state);
			return [];
		}

		state.progressVersion = reply.version ?? 0;
		return startNextMatter(state);
	},

	readSeal(state, reply) {
		const seal = reply.status === 'ok' ? usageSealSchema.safeParse(reply.value).data : undefined;
		if (seal === undefined) {
			endPass(state);
			return [];
		}

		state.reporting = {seal, partIndex: 0};
		return readNextPart(state);
	},

	readPart(state, reply, context) {
		const part = reply.status === 'ok' ? usagePartSchema.safeParse(reply.value).data : undefined;
		const {authority, nowMs} = context;
		const deadlineMs = Math.min(REPORT_DEADLINE_MS, authority.remainingMs - REPORT_MARGIN_MS);
		if (part === undefined || state.reporting === undefined || deadlineMs <= 0) {
			endPass(state);
			return [];
		}

		const {seal, partIndex} = state.reporting;
		return startCall(state, 'report', {
			kind: 'report',
			deadlineMs,
			authorityEndsAtMs: nowMs + authority.remainingMs - REPORT_MARGIN_MS,
			body: {
				reportId: `${seal.region}/${seal.window}/${partIndex}`,
				window: seal.window,
				windowMs: seal.windowMs,
				region: seal.region,
				partCount: seal.partCount,
				unaccounted: seal.unaccounted,
				rows: part.rows,
				reportedBy: state.instanceId,
				epoch: authority.epoch,
			},
		});
	},

	report(state, reply) {
		if (reply.status !== 'ok' || state.reporting === undefined) {
			endPass(state);
			return [];
		}

		state.reporting.partIndex += 1;
		return readNextPart(state);
	},
};

/** Seals the next window that is due, else reports the next that is sealed. */
function startNextMatter(state: UsageSealerState): CallUsage[] {
	const {progress, windowMs, region} = state;
	if (progress.sealedThrough < findLastWindow(state)) {
		state.pass = createPass(progress.sealedThrough + windowMs, `${state.runId}.${state.callCount}`);
		return startCall(state, 'listNames', {kind: 'list', prefix: toLedgerNamePrefix(region)});
	}

	if (progress.reportedThrough < progress.sealedThrough) {
		return startCall(state, 'readSeal', {kind: 'read', key: toSealKey(region, progress.reportedThrough + windowMs)});
	}

	endPass(state);
	return [];
}

function findLastWindow({wallMs, graceMs, windowMs}: UsageSealerState): number {
	return findUsageWindow(wallMs - graceMs, windowMs) - windowMs;
}

function createPass(window: number, sealId: string): SealingPass {
	return {
		window,
		sealId,
		sourcesByWindow: new Map(),
		nameVersions: new Map(),
		ledgerIds: [],
		orphanObjects: [],
		ledger: createUsageLedger(''),
		ledgerVersion: 0,
		sums: new Map(),
		sources: [],
		unaccounted: [],
		resolved: new Set(),
		parts: [],
		partIndex: 0,
	};
}

function readNextLedger(state: UsageSealerState): CallUsage[] {
	const pass = getPass(state);
	const ledgerId = pass.ledgerIds[0];
	if (ledgerId === undefined) {
		pass.parts = planUsageParts([...pass.sums.values()]);
		return writeNextPart(state);
	}

	return startCall(state, 'readLedger', {kind: 'read', key: toLedgerKey(state.region, ledgerId)});
}

function advanceLedger(state: UsageSealerState): CallUsage[] {
	getPass(state).ledgerIds.shift();
	return readNextLedger(state);
}

function startFreeze(state: UsageSealerState): CallUsage[] {
	const pass = getPass(state);
	const frozen = planFrozenLedger({
		ledger: pass.ledger,
		window: pass.window,
		orphans: pass.orphanObjects.flatMap(({attempts}) => attempts).filter(({ledgerId}) => ledgerId === pass.ledger.ledgerId),
		isSealed: window => pass.sourcesByWindow.get(window)?.has(pass.ledger.ledgerId) ?? false,
	});
	if (frozen === pass.ledger) {
		return applyLedger(state);
	}

	pass.ledger = frozen;
	if (pass.ledgerVersion === 0) {
		const key = `${toLedgerNamePrefix(state.region)}${frozen.ledgerId}`;
		return startCall(state, 'nameLedger', {
			kind: 'write', key, value: {}, version: 0,
		});
	}

	return writeFrozen(state);
}

function writeFrozen(state: UsageSealerState): CallUsage[] {
	const {ledger, ledgerVersion} = getPass(state);
	return startCall(state, 'writeLedger', {
		kind: 'write', key: toLedgerKey(state.region, ledger.ledgerId), value: toStoredLedger(ledger), version: ledgerVersion,
	});
}

/** Takes a ledger's frozen rows into the figures, once they are stored as frozen. */
function applyLedger(state: UsageSealerState): CallUsage[] {
	const pass = getPass(state);
	const {ledger, window, orphanObjects} = pass;
	const frozen = ledger.frozen.find(part => part.window === window);
	if (frozen !== undefined) {
		mergeUsageRows(pass.sums, frozen.rows);
		pass.sources.push(ledger.ledgerId);
	}

	for (const {ledgerId, sequence} of orphanObjects.flatMap(({attempts}) => attempts)) {
		if (ledgerId === ledger.ledgerId && isAccounted(ledger, sequence)) {
			pass.resolved.add(`${ledgerId};${sequence}`);
		}
	}

	const idleWindows = (window - ledger.frozenThrough) / state.windowMs;
	if (idleWindows === DECLARE_AFTER_WINDOWS) {
		const attempts = countMissingSequences(ledger.settled, ledger.claimed);
		pass.unaccounted.push(...(attempts > 0 ? [{ledgerId: ledger.ledgerId, attempts}] : []));
	}

	if (ledger.frozenThrough > 0 && idleWindows >= REMOVE_AFTER_WINDOWS && ledger.open.length === 0) {
		return startCall(state, 'removeLedger', {
			kind: 'remove', key: toLedgerKey(state.region, ledger.ledgerId), version: pass.ledgerVersion,
		});
	}

	return advanceLedger(state);
}

function writeNextPart(state: UsageSealerState): CallUsage[] {
	const pass = getPass(state);
	const seal = createSeal(state, pass);
	const rows = pass.parts[pass.partIndex];
	return rows === undefined
		? startCall(state, 'writeSeal', {
			kind: 'write', key: toSealKey(state.region, pass.window), value: seal, version: 0,
		})
		: startCall(state, 'writePart', {
			kind: 'write', key: toPartKey(state.region, seal, pass.partIndex), value: {rows}, version: 0,
		});
}

function createSeal(state: UsageSealerState, pass: SealingPass): UsageSeal {
	return {
		window: pass.window,
		windowMs: state.windowMs,
		region: state.region,
		sealId: pass.sealId,
		partCount: pass.parts.length,
		sources: pass.sources,
		totals: sumUsageCounts([...pass.sums.values()]),
		unaccounted: pass.unaccounted,
	};
}

/** Removes what sidecars stored once all of it is in ledgers, then notes the window as sealed. */
function removeNextOrphans(state: UsageSealerState): CallUsage[] {
	const pass = getPass(state);
	pass.orphanObjects = pass.orphanObjects.filter(({attempts}) =>
		attempts.every(({ledgerId, sequence}) => pass.resolved.has(`${ledgerId};${sequence}`)));
	const object = pass.orphanObjects[0];
	if (object !== undefined) {
		return startCall(state, 'removeOrphans', {kind: 'remove', key: object.key, version: object.version});
	}

	return writeProgress(state, {...state.progress, sealedThrough: pass.window});
}

function readNextPart(state: UsageSealerState): CallUsage[] {
	const {seal, partIndex} = state.reporting!;
	if (partIndex < seal.partCount) {
		return startCall(state, 'readPart', {kind: 'read', key: toPartKey(state.region, seal, partIndex)});
	}

	state.reporting = undefined;
	return writeProgress(state, {...state.progress, reportedThrough: seal.window});
}

function writeProgress(state: UsageSealerState, progress: UsageProgress): CallUsage[] {
	state.progress = progress;
	return startCall(state, 'writeProgress', {
		kind: 'write', key: toProgressKey(state.region), value: progress, version: state.progressVersion,
	});
}

function getPass({pass}: UsageSealerState): SealingPass {
	if (pass === undefined) {
		throw new Error('a window is being sealed without a pass');
	}

	return pass;
}

function listObjects(reply: UsageReply): readonly UsageObject[] {
	return reply.status === 'ok' ? reply.objects ?? [] : [];
}

function endPass(state: UsageSealerState): void {
	state.phase = 'idle';
	state.pass = undefined;
	state.reporting = undefined;
}

function startCall(state: UsageSealerState, phase: SealerPhase, call: UsageCall): CallUsage[] {
	state.phase = phase;
	state.callCount += 1;
	state.callId = `usage-sealer-${state.callCount}`;
	return [{type: 'usage.call', callId: state.callId, call}];
}
