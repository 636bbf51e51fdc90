/** Simulates streams of callers that come back, before entries and targets that fail. */
import {type ServingEffect} from '../servingMessages.js';
import {type TargetRecord} from '../servingRecords.js';
import {
	createFleetCall, createFleetTarget, createTestFleet, type TestFleetEntry,
} from './createTestFleet.js';

const LENGTH_MS = 14_000;
const MAX_TRIES = 3;
/** Time limit of callers. */
const TIME_LIMIT_MS = 5000;
/** Time after which a caller that no entry answers comes again. */
const UNANSWERED_MS = 200;

/** A stream and what came of it. */
export type SimulatedStream = {
	readonly requestId: string;
	readonly beganAtMs: number;
	tries: number;
	readonly versions: string[];
	isEnded: boolean;
	wasTakenUp: boolean;
	isWhole: boolean;
};

/** Calls that begin and that take up a stream, and how many of them were sent to a target, from the first kill of all entries on. */
export type CallCounts = {begun: number; begunSent: number; takenUp: number; takenUpSent: number};

/** Options of {@link simulateStreams}. */
export type StreamLoadOptions = {
	readonly entryCount: number;
	readonly reportLoss: number;
	readonly reportDelayMs: number;
	/** Longest time until an entry knows a changed registration. */
	readonly watchDelayMs: number;
	/** Mean time between two replacements of a target by one of another version. */
	readonly replacementGapMs: number;
	/** Mean time between two restarts of an entry; the streams there break off. */
	readonly restartGapMs: number;
	/** Mean time between two cuts of an entry from the store. */
	readonly storeCutGapMs: number;
	/** Mean time between two cuts of an entry from everything; the streams there break off. */
	readonly fullCutGapMs: number;
	readonly seed: number;
	/** Number of software versions among which replacements are drawn. Three if omitted. */
	readonly versionCount?: number;
	/** Mean time between two kills of all entries; never if omitted. */
	readonly fleetKillGapMs?: number;
	/** How all entries are killed: at one moment, twice within a second, or one after the other. */
	readonly fleetKill?: 'once' | 'twice' | 'inTurn';
	/** Mean time between two outages of the store, and between two returns from an older copy; never if omitted. */
	readonly storeOutageGapMs?: number;
	readonly storeRestoreGapMs?: number;
	/** Whether callers still reach entries that are cut off from the store and all peers. Their streams go on then. */
	readonly isCutReached?: boolean;
	/** Mean time between two freezes of an entry; never if omitted. What reaches it meanwhile is read when it wakes. */
	readonly freezeGapMs?: number;
	/** Whether the targets of the oldest version leave while all entries are down. */
	readonly isReplacedWhileDown?: boolean;
};

/** Simulates streams that break off at their targets, at their entries and at their callers, while targets are replaced by others of another software version. */
export function simulateStreams(options: StreamLoadOptions): {readonly streams: readonly SimulatedStream[]; readonly counts: CallCounts} {
	const {
		watchDelayMs, replacementGapMs, restartGapMs, storeCutGapMs, fullCutGapMs,
		versionCount = 3, fleetKillGapMs = Number.POSITIVE_INFINITY, fleetKill = 'once', storeOutageGapMs = Number.POSITIVE_INFINITY, storeRestoreGapMs = Number.POSITIVE_INFINITY,
		isReplacedWhileDown = false, isCutReached = false, freezeGapMs = Number.POSITIVE_INFINITY,
	} = options;
	let targets: TargetRecord[] = [1, 2, 3, 4].map(index => createFleetTarget(`target${index}`, {softwareVersion: 'v1'}));
	const streams: SimulatedStream[] = [];
	const streamsByCall = new Map<string, SimulatedStream>();
	let lastCallId = 0;
	let lastTarget = 4;
	const counts: CallCounts = {
		begun: 0, begunSent: 0, takenUp: 0, takenUpSent: 0,
	};
	let wasFleetKilled = false;

	const toKey = ({state}: TestFleetEntry, callId: number) => `${state.processId}/${callId}`;
	const isDue = (gapMs: number) => fleet.random() < 20 / gapMs;
	const pickEntry = () => {
		const reachable = fleet.entries.filter(({hasPeers, isRunning}) => (hasPeers || isCutReached) && isRunning);
		return reachable[Math.floor(fleet.random() * reachable.length)];
	};

	const countCall = (kind: keyof CallCounts) => {
		counts[kind] += wasFleetKilled ? 1 : 0;
	};

	const send = (stream: SimulatedStream) => {
		const entry = pickEntry();
		if (entry === undefined) {
			stream.isEnded = fleet.getNowMs() > stream.beganAtMs + TIME_LIMIT_MS;
			if (!stream.isEnded) {
				fleet.schedule(UNANSWERED_MS, () => {
					send(stream);
				});
			}

			return;
		}

		lastCallId += 1;
		const requestId = stream.tries === 0 ? stream.requestId : `${stream.requestId}.${stream.tries}`;
		const isTakenUp = stream.versions.length > 0;
		stream.tries += 1;
		stream.wasTakenUp ||= isTakenUp;
		countCall(isTakenUp ? 'takenUp' : 'begun');
		streamsByCall.set(toKey(entry, lastCallId), stream);
		fleet.dispatch(entry, createFleetCall(lastCallId, {kind: 'stream', requestId, ...(isTakenUp && {resumes: stream.requestId})}, fleet.getNowMs()));
	};

	/** The caller comes again, unless it has done so too often or its stream is new: then it would begin another one. */
	const retry = (stream: SimulatedStream) => {
		if (stream.versions.length === 0 || stream.tries >= MAX_TRIES) {
			stream.isEnded = true;
			return;
		}

		fleet.schedule(30, () => {
			send(stream);
		});
	};

	const endAttempt = (entry: TestFleetEntry, {callId, attemptId, target}: Extract<ServingEffect, {type: 'attempt.send'}>) => {
		const nowMs = fleet.getNowMs();
		const stream = streamsByCall.get(toKey(entry, callId));
		const isBroken = fleet.random() < 0.35 || !targets.some(({targetId}) => targetId === target.targetId);
		const isLeft = !isBroken && fleet.random() < 0.2;
		if (stream === undefined) {
			return;
		}

		if (isLeft) {
			streamsByCall.delete(toKey(entry, callId));
			fleet.dispatch(entry, {type: 'call.disconnected', callId, nowMs});
			retry(stream);
			return;
		}

		stream.isWhole = !isBroken;
		fleet.dispatch(entry, {
			type: 'attempt.ended', callId, attemptId, result: isBroken ? 'unknown' : 'answered', isResponseStarted: true, hasRun: true, wallMs: nowMs, detail: '', nowMs,
		});
	};

	const runAttempt = (entry: TestFleetEntry, effect: Extract<ServingEffect, {type: 'attempt.send'}>) => {
		const {processNumber} = entry;
		const sentStream = streamsByCall.get(toKey(entry, effect.callId));
		countCall(sentStream?.versions.length === 0 ? 'begunSent' : 'takenUpSent');
		fleet.schedule(20 + (fleet.random() * 60), () => {
			const stream = streamsByCall.get(toKey(entry, effect.callId));
			if (stream === undefined || entry.processNumber !== processNumber) {
				return;
			}

			stream.versions.push(effect.target.softwareVersion);
			fleet.dispatch(entry, {
				type: 'attempt.began', callId: effect.callId, attemptId: effect.attemptId, wallMs: fleet.getNowMs(), nowMs: fleet.getNowMs(),
			});
			fleet.schedule(40 + (fleet.random() * 300), () => {
				if (entry.processNumber === processNumber) {
					endAttempt(entry, effect);
				}
			});
		});
	};

	const fleet = createTestFleet({
		...options,
		onEffect(entry, effect) {
			if (effect.type === 'attempt.send') {
				runAttempt(entry, effect);
			} else if (effect.type === 'call.refuse') {
				const stream = streamsByCall.get(toKey(entry, effect.callId));
				streamsByCall.delete(toKey(entry, effect.callId));
				if (stream !== undefined) {
					retry(stream);
				}
			}
		},
	}, () => targets);

	/** Dispatches a change of the registrations to an entry, once it is not cut off. */
	const signalEntry = (entry: TestFleetEntry, change: {readonly targets: readonly TargetRecord[]; readonly removed: readonly string[]}) => {
		if (!entry.isRunning) {
			return;
		}

		if (!fleet.isStoreReached(entry)) {
			fleet.schedule(100, () => {
				signalEntry(entry, change);
			});
			return;
		}

		fleet.dispatch(entry, {
			type: 'targets.changed', ...change, isComplete: false, nowMs: fleet.getNowMs(),
		});
	};

	const replaceTarget = () => {
		if (!fleet.isStoreUp()) {
			return;
		}

		const index = Math.floor(fleet.random() * targets.length);
		lastTarget += 1;
		const added = createFleetTarget(`target${lastTarget}`, {softwareVersion: `v${1 + Math.floor(fleet.random() * versionCount)}`});
		const removed = [targets[index]!.targetId];
		targets = targets.with(index, added);
		for (const entry of fleet.entries) {
			fleet.schedule(fleet.random() * watchDelayMs, () => {
				signalEntry(entry, {targets: [added], removed});
			});
		}
	};

	const dropStreams = ({state}: TestFleetEntry) => {
		for (const [key, stream] of streamsByCall) {
			if (key.startsWith(`${state.processId}/`)) {
				streamsByCall.delete(key);
				retry(stream);
			}
		}
	};

	const replaceProcess = () => {
		const entry = pickEntry();
		if (entry !== undefined) {
			dropStreams(entry);
			fleet.restart(entry);
		}
	};

	/** Kills all entries. They start again within a second, one by one. */
	const killFleet = () => {
		wasFleetKilled = true;
		for (const [index, entry] of fleet.entries.entries()) {
			fleet.schedule(fleetKill === 'inTurn' ? index * 300 : 1, () => {
				if (entry.isRunning) {
					dropStreams(entry);
					fleet.stop(entry);
					fleet.schedule(100 + (fleet.random() * 900), () => {
						fleet.restart(entry);
					});
				}
			});
		}

		const first = targets[0]!.softwareVersion;
		if (isReplacedWhileDown && targets.some(({softwareVersion}) => softwareVersion !== first)) {
			targets = targets.filter(({softwareVersion}) => softwareVersion !== first);
		}
	};

	const killFleetOnce = () => {
		killFleet();
		if (fleetKill === 'twice') {
			fleet.schedule(600, killFleet);
		}
	};

	const silenceEntry = (hasPeers: boolean) => () => {
		const entry = pickEntry();
		if (entry === undefined) {
			return;
		}

		entry.hasStore = false;
		entry.hasPeers = hasPeers;
		if (!hasPeers && !isCutReached) {
			dropStreams(entry);
		}

		fleet.schedule(300 + (fleet.random() * 5000), () => {
			entry.hasStore = true;
			entry.hasPeers = true;
		});
	};

	const pauseEntry = () => {
		const entry = pickEntry();
		if (entry !== undefined) {
			entry.frozenUntilMs = fleet.getNowMs() + 200 + (fleet.random() * 3000);
		}
	};

	fleet.run(LENGTH_MS, () => {
		if (fleet.random() < 0.7) {
			const stream: SimulatedStream = {
				requestId: `stream${streams.length}`, beganAtMs: fleet.getNowMs(), tries: 0, versions: [], isEnded: false, wasTakenUp: false, isWhole: false,
			};
			streams.push(stream);
			send(stream);
		}

		for (const [gapMs, run] of [
			[replacementGapMs, replaceTarget],
			[restartGapMs, replaceProcess],
			[storeCutGapMs, silenceEntry(true)],
			[fullCutGapMs, silenceEntry(false)],
			[freezeGapMs, pauseEntry],
			[fleetKillGapMs, killFleetOnce],
			[storeOutageGapMs, fleet.silenceStore],
			[storeRestoreGapMs, fleet.restoreStore],
		] as const) {
			if (isDue(gapMs)) {
				run();
			}
		}
	});
	return {streams, counts};
}

/** Returns whether a stream holds events of two software versions. */
export const hasTwoVersions = ({versions}: SimulatedStream) => new Set(versions).size > 1;
