/** Steps of sealing and reporting a window. Each step changes the state and returns the next call. */
import {
	toLedgerKey, toLedgerNamePrefix, toPartKey, toProgressKey, toSealKey, type UsageProgress, type UsageSeal,
} from '@damaskspool/shared';
import {countMissingSequences} from './sequenceRanges.js';
import {
	type SendUsageCall, type UsageCall, type UsageObject, type UsageReply,
} from './usageCalls.js';
import {addUsageRows, sumUsageCounts} from './usageCounts.js';
import {
	createUsageLedger, planFrozenLedger, isAccounted, toStoredLedger,
} from './usageLedger.js';
import {type SealerPhase, type SealingPass, type UsageSealerState} from './usageSealerState.js';
import {findUsageWindow, planUsageParts} from './usageWindows.js';

/** Windows since a ledger's last frozen window after which its missing attempts are declared unaccounted. */
const DECLARE_UNACCOUNTED_AFTER_WINDOWS = 2;
/** Windows since a ledger's last frozen window after which it is removed. Sidecars store their orphans long before. */
const REMOVE_LEDGER_AFTER_WINDOWS = 200;

/**
 * Starts sealing the next window that is due. If none is due, starts reporting
 * the next sealed window, or ends the pass if all are reported.
 *
 * @returns calls to make
 */
export function startNextWindow(state: UsageSealerState): SendUsageCall[] {
	const {progress, windowMs, region} = state;
	if (progress.sealedThrough < findLastSealableWindow(state)) {
		state.pass = createPass(progress.sealedThrough + windowMs, `${state.runId}.${state.callCount}`);
		return startCall(state, 'listNames', {kind: 'list', prefix: toLedgerNamePrefix(region)});
	}

	if (progress.reportedThrough < progress.sealedThrough) {
		return startCall(state, 'readSeal', {kind: 'read', key: toSealKey(region, progress.reportedThrough + windowMs)});
	}

	endPass(state);
	return [];
}

/**
 * Finds the last window that ended at least the grace period ago.
 *
 * @returns start of the window, as Unix time in milliseconds
 */
export function findLastSealableWindow({wallMs, graceMs, windowMs}: UsageSealerState): number {
	return findUsageWindow(wallMs - graceMs, windowMs) - windowMs;
}

function createPass(window: number, sealId: string): SealingPass {
	return {
		window,
		sealId,
		sourcesByWindow: new Map(),
		ledgerNameVersions: new Map(),
		pendingLedgerIds: [],
		orphanObjects: [],
		ledger: createUsageLedger(''),
		ledgerVersion: 0,
		sums: new Map(),
		sources: [],
		unaccounted: [],
		accountedOrphans: new Set(),
		parts: [],
		partIndex: 0,
	};
}

/**
 * Reads the next pending ledger. If none is pending, plans the parts and writes the first.
 *
 * @returns calls to make
 */
export function readNextLedger(state: UsageSealerState): SendUsageCall[] {
	const pass = getPass(state);
	const ledgerId = pass.pendingLedgerIds[0];
	if (ledgerId === undefined) {
		pass.parts = planUsageParts([...pass.sums.values()]);
		return writeNextPart(state);
	}

	return startCall(state, 'readLedger', {kind: 'read', key: toLedgerKey(state.region, ledgerId)});
}

/**
 * Removes the current ledger from the pending ones and reads the next.
 *
 * @returns calls to make
 */
export function completeLedger(state: UsageSealerState): SendUsageCall[] {
	getPass(state).pendingLedgerIds.shift();
	return readNextLedger(state);
}

/**
 * Freezes the window's usage in the current ledger. If nothing is left to
 * freeze, adds the usage that is already frozen to the pass.
 *
 * @returns calls to make
 */
export function startFreeze(state: UsageSealerState): SendUsageCall[] {
	const pass = getPass(state);
	const frozenLedger = planFrozenLedger({
		ledger: pass.ledger,
		window: pass.window,
		orphans: pass.orphanObjects.flatMap(({attempts}) => attempts).filter(({ledgerId}) => ledgerId === pass.ledger.ledgerId),
		isSealed: window => pass.sourcesByWindow.get(window)?.has(pass.ledger.ledgerId) ?? false,
	});
	if (frozenLedger === pass.ledger) {
		return applyLedger(state);
	}

	pass.ledger = frozenLedger;
	if (pass.ledgerVersion === 0) {
		const key = `${toLedgerNamePrefix(state.region)}${frozenLedger.ledgerId}`;
		return startCall(state, 'nameLedger', {
			kind: 'write', key, value: {}, version: 0,
		});
	}

	return writeFrozenLedger(state);
}

/**
 * Writes the ledger that holds the frozen usage.
 *
 * @returns calls to make
 */
export function writeFrozenLedger(state: UsageSealerState): SendUsageCall[] {
	const {ledger, ledgerVersion} = getPass(state);
	return startCall(state, 'writeLedger', {
		kind: 'write', key: toLedgerKey(state.region, ledger.ledgerId), value: toStoredLedger(ledger), version: ledgerVersion,
	});
}

/**
 * Adds the frozen usage of the current ledger to the pass. Then declares the
 * missing attempts of a ledger that has become idle, and removes a ledger that
 * has been idle for a long time.
 *
 * @returns calls to make
 */
export function applyLedger(state: UsageSealerState): SendUsageCall[] {
	const pass = getPass(state);
	const {ledger, window, orphanObjects} = pass;
	const frozen = ledger.frozen.find(candidate => candidate.window === window);
	if (frozen !== undefined) {
		addUsageRows(pass.sums, frozen.rows);
		pass.sources.push(ledger.ledgerId);
	}

	for (const {ledgerId, sequence} of orphanObjects.flatMap(({attempts}) => attempts)) {
		if (ledgerId === ledger.ledgerId && isAccounted(ledger, sequence)) {
			pass.accountedOrphans.add(`${ledgerId};${sequence}`);
		}
	}

	const idleWindows = (window - ledger.frozenThrough) / state.windowMs;
	if (idleWindows === DECLARE_UNACCOUNTED_AFTER_WINDOWS) {
		const attempts = countMissingSequences(ledger.settled, ledger.claimed);
		pass.unaccounted.push(...(attempts > 0 ? [{ledgerId: ledger.ledgerId, attempts}] : []));
	}

	if (ledger.frozenThrough > 0 && idleWindows >= REMOVE_LEDGER_AFTER_WINDOWS && ledger.open.length === 0) {
		return startCall(state, 'removeLedger', {
			kind: 'remove', key: toLedgerKey(state.region, ledger.ledgerId), version: pass.ledgerVersion,
		});
	}

	return completeLedger(state);
}

/**
 * Writes the next part of the figures, or the seal after the last part.
 *
 * @returns calls to make
 */
export function writeNextPart(state: UsageSealerState): SendUsageCall[] {
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

/**
 * Removes the next orphans object whose attempts are all in ledgers. After the
 * last one, records the window as sealed.
 *
 * @returns calls to make
 */
export function removeNextOrphans(state: UsageSealerState): SendUsageCall[] {
	const pass = getPass(state);
	pass.orphanObjects = pass.orphanObjects.filter(({attempts}) =>
		attempts.every(({ledgerId, sequence}) => pass.accountedOrphans.has(`${ledgerId};${sequence}`)));
	const object = pass.orphanObjects[0];
	if (object !== undefined) {
		return startCall(state, 'removeOrphans', {kind: 'remove', key: object.key, version: object.version});
	}

	return writeProgress(state, {...state.progress, sealedThrough: pass.window});
}

/**
 * Reads the next part of the sealed window. After the last one, records the window as reported.
 *
 * @returns calls to make
 */
export function readNextPart(state: UsageSealerState): SendUsageCall[] {
	const {seal, partIndex} = state.currentReport!;
	if (partIndex < seal.partCount) {
		return startCall(state, 'readPart', {kind: 'read', key: toPartKey(state.region, seal, partIndex)});
	}

	state.currentReport = undefined;
	return writeProgress(state, {...state.progress, reportedThrough: seal.window});
}

/**
 * Stores how far windows are sealed and reported.
 *
 * @returns calls to make
 */
export function writeProgress(state: UsageSealerState, progress: UsageProgress): SendUsageCall[] {
	state.progress = progress;
	return startCall(state, 'writeProgress', {
		kind: 'write', key: toProgressKey(state.region), value: progress, version: state.progressVersion,
	});
}

/**
 * Returns the pass in progress.
 *
 * @throws if no window is being sealed
 */
export function getPass({pass}: UsageSealerState): SealingPass {
	if (pass === undefined) {
		throw new Error('no sealing pass is in progress');
	}

	return pass;
}

/** Returns the objects of a reply to a list call; an empty list if the reply has none. */
export function listObjects(reply: UsageReply): readonly UsageObject[] {
	return reply.status === 'ok' ? reply.objects ?? [] : [];
}

/** Ends the pass and discards the data that it collected. */
export function endPass(state: UsageSealerState): void {
	state.phase = 'idle';
	state.pass = undefined;
	state.currentReport = undefined;
}

/**
 * Starts a call and lets the pass wait for its reply.
 *
 * @param phase - selects the handler of the reply
 * @returns the call as an effect
 */
export function startCall(state: UsageSealerState, phase: SealerPhase, call: UsageCall): SendUsageCall[] {
	state.phase = phase;
	state.callCount += 1;
	state.callId = `usage-sealer-${state.callCount}`;
	return [{type: 'usage.call', callId: state.callId, call}];
}
