/**
 * Seals usage windows and reports them while this entry holds the usage duty.
 * Each step makes one call. Steps are idempotent: any entry may repeat them,
 * and a step that finds its work done changes nothing. A call that fails ends
 * the pass, and the next pass starts from the beginning.
 */
import {
	toLedgerNamePrefix, toOrphansPrefix, toProgressKey, toSealKey, usageLedgerSchema, usageOrphansSchema, usagePartSchema, usageProgressSchema, usageSealSchema,
} from '@damaskspool/shared';
import {type SendUsageCall, type UsageReply} from './usageCalls.js';
import {createUsageLedger} from './usageLedger.js';
import {
	type SealerPhase, type UsageSealerState, type SealerContext, type UsageAuthority,
} from './usageSealerState.js';
import {
	startNextWindow, findLastSealableWindow, readNextLedger, completeLedger, startFreeze, writeFrozenLedger, applyLedger, writeNextPart,
	removeNextOrphans, readNextPart, writeProgress, getPass, listObjects, endPass, startCall,
} from './usageSealerSteps.js';

/** Maximum wait for the platform's reply to a report. */
const REPORT_DEADLINE_MS = 2000;
/** Time between a report's deadline and the end of the authority, since a call may end late. */
const REPORT_MARGIN_MS = 250;

/**
 * Begins a pass if the duty is held and no pass is in progress. Ends the
 * current pass if the duty is not held. Changes `state`.
 *
 * @param wallMs - Unix time that decides which windows have ended
 * @returns calls to make
 */
export function advanceSealer(state: UsageSealerState, wallMs: number, context: SealerContext): SendUsageCall[] {
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
 * Applies the reply to the pass's current call. Ends the pass if the call
 * failed or the duty is no longer held. Ignores replies to other calls. Changes
 * `state`.
 *
 * @returns calls to make
 */
export function applySealerReply(state: UsageSealerState, callId: string, reply: UsageReply, context: SealerContext): SendUsageCall[] {
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

type AuthorizedContext = SealerContext & {readonly authority: UsageAuthority};
type ReplyHandler = (state: UsageSealerState, reply: UsageReply, context: AuthorizedContext) => SendUsageCall[];

const REPLY_HANDLERS: Readonly<Record<Exclude<SealerPhase, 'idle'>, ReplyHandler>> = {
	readProgress(state, reply) {
		const storedProgress = reply.status === 'ok' ? usageProgressSchema.safeParse(reply.value).data : undefined;
		state.progressVersion = reply.status === 'ok' ? reply.version ?? 0 : 0;
		if (storedProgress === undefined) {
			// Progress is stored before the first seal, so every holder starts at the same window and seals in order.
			const previousWindow = findLastSealableWindow(state) - state.windowMs;
			return writeProgress(state, {sealedThrough: previousWindow, reportedThrough: previousWindow});
		}

		state.progress = storedProgress;
		return startNextWindow(state);
	},

	listNames(state, reply) {
		const pass = getPass(state);
		const prefix = toLedgerNamePrefix(state.region);
		pass.ledgerNameVersions = new Map(listObjects(reply).map(({key, version}) => [key.slice(prefix.length), version]));
		pass.pendingLedgerIds = [...pass.ledgerNameVersions.keys()];
		return startCall(state, 'listOrphans', {kind: 'list', prefix: toOrphansPrefix(state.region)});
	},

	listOrphans(state, reply) {
		const pass = getPass(state);
		pass.orphanObjects = listObjects(reply).flatMap(({key, version, value}) => {
			const {data} = usageOrphansSchema.safeParse(value);
			return data === undefined ? [] : [{key, version, attempts: data.attempts}];
		});
		const orphanLedgerIds = pass.orphanObjects.flatMap(({attempts}) => attempts.map(({ledgerId}) => ledgerId));
		pass.pendingLedgerIds = [...new Set([...pass.pendingLedgerIds, ...orphanLedgerIds])];
		return readNextLedger(state);
	},

	readLedger(state, reply) {
		const pass = getPass(state);
		const storedLedger = reply.status === 'ok' ? usageLedgerSchema.safeParse(reply.value).data : undefined;
		pass.ledger = storedLedger ?? createUsageLedger(pass.pendingLedgerIds[0]!);
		pass.ledgerVersion = reply.status === 'ok' ? reply.version ?? 0 : 0;
		const earlierFreeze = pass.ledger.frozen.find(({window}) => window < pass.window && !pass.sourcesByWindow.has(window));
		return earlierFreeze === undefined
			? startFreeze(state)
			: startCall(state, 'readEarlierSeal', {kind: 'read', key: toSealKey(state.region, earlierFreeze.window)});
	},

	readEarlierSeal(state, reply) {
		const pass = getPass(state);
		const earlierFreeze = pass.ledger.frozen.find(({window}) => !pass.sourcesByWindow.has(window))!;
		const seal = reply.status === 'ok' ? usageSealSchema.safeParse(reply.value).data : undefined;
		pass.sourcesByWindow.set(earlierFreeze.window, new Set(seal?.sources));
		return startFreeze(state);
	},

	nameLedger: state => writeFrozenLedger(state),

	writeLedger(state, reply) {
		if (reply.status === 'conflict') {
			return readNextLedger(state);
		}

		return applyLedger(state);
	},

	removeLedger(state) {
		const {ledger, ledgerNameVersions} = getPass(state);
		const key = `${toLedgerNamePrefix(state.region)}${ledger.ledgerId}`;
		return startCall(state, 'removeName', {kind: 'remove', key, version: ledgerNameVersions.get(ledger.ledgerId) ?? 0});
	},

	removeName: state => completeLedger(state),

	writePart(state) {
		getPass(state).partIndex += 1;
		return writeNextPart(state);
	},

	// On a conflict, another holder of the duty has sealed the window, and its figures stand.
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
		return startNextWindow(state);
	},

	readSeal(state, reply) {
		const seal = reply.status === 'ok' ? usageSealSchema.safeParse(reply.value).data : undefined;
		if (seal === undefined) {
			endPass(state);
			return [];
		}

		state.currentReport = {seal, partIndex: 0};
		return readNextPart(state);
	},

	readPart(state, reply, context) {
		const part = reply.status === 'ok' ? usagePartSchema.safeParse(reply.value).data : undefined;
		const {authority, nowMs} = context;
		const deadlineMs = Math.min(REPORT_DEADLINE_MS, authority.remainingMs - REPORT_MARGIN_MS);
		if (part === undefined || state.currentReport === undefined || deadlineMs <= 0) {
			endPass(state);
			return [];
		}

		const {seal, partIndex} = state.currentReport;
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
		if (reply.status !== 'ok' || state.currentReport === undefined) {
			endPass(state);
			return [];
		}

		state.currentReport.partIndex += 1;
		return readNextPart(state);
	},
};
