import {type CacheEvent} from './createPrefixCache.js';

/** Cache events that an engine retains for its clients; older ones are dropped. */
const MAX_EVENTS = 512;

/** Cache events of an engine as its clients see them: delayed, and with gaps in the sequence numbers. */
export type LaggedLog = {
	readonly append: (kind: CacheEvent['kind'], hash: string) => void;
	/** Lists the events after a sequence number whose delay has passed. */
	readonly list: (afterSequence: number) => CacheEvent[];
};

/** Options of {@link createLaggedLog}. */
export type LaggedLogOptions = {
	readonly lagMs: number;
	/** Drops every n-th event; 0 drops none. */
	readonly gapEvery: number;
	readonly readClock?: () => number;
};

/** Creates a log of cache events that clients see with a delay and with gaps. */
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
