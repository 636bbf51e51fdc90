import {type CacheEvent} from './createPrefixCache.js';

/** Cache events that an engine keeps for its readers; older ones are lost. */
const MAX_EVENTS = 512;

/** The cache events of an engine as its readers see them: late, and with gaps in their sequence. */
export type LaggedLog = {
	readonly append: (kind: CacheEvent['kind'], hash: string) => void;
	/** Events after a sequence number that are old enough to be seen. */
	readonly list: (afterSequence: number) => CacheEvent[];
};

/** Options of {@link createLaggedLog}. */
export type LaggedLogOptions = {
	readonly lagMs: number;
	/** Every so many events one is lost; 0 loses none. */
	readonly gapEvery: number;
	readonly readClock?: () => number;
};

/**
 * Creates an engine's log of cache events.
 *
 * @param options - lag and gaps
 * @returns the log
 */
export function createLaggedLog(options: LaggedLogOptions): LaggedLog {
	const {lagMs, gapEvery, readClock = () => performance.now()} = options;
	const events: Array<CacheEvent & {readonly visibleAtMs: number}> = [];
	let sequence = 0;
	return {
		append(kind, hash) {
			sequence += 1;
			if (gapEvery > 0 && sequence % gapEvery === 0) {
				return;
			}

			events.push({
				sequence, kind, hash, visibleAtMs: readClock() + lagMs,
			});
			if (events.length > MAX_EVENTS) {
				events.shift();
			}
		},
		list(afterSequence) {
			const nowMs = readClock();
			return events
				.filter(event => event.sequence > afterSequence && event.visibleAtMs <= nowMs)
				.map(({sequence: sequenceNumber, kind, hash}) => ({sequence: sequenceNumber, kind, hash}));
		},
	};
}
