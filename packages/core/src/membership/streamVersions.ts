/**
 * Software versions at which streams began. A stream can only go on at that version, also when its caller takes it up at
 * another entry because the first one is gone. Entries therefore tell one another where streams began, while targets of
 * several versions serve.
 */
import {setNewest} from '@damaskspool/shared';
import {hashIdentifier} from '../routing/rendezvous.js';

/** Streams that began at a version, by the hash of the request that brought the first event. */
export type ReportedStreams = ReadonlyArray<readonly [softwareVersion: string, streamKeys: readonly string[]]>;

/** Software versions of streams, as known to one entry. */
export type StreamVersions = {
	/** Records the version at which a stream goes on. With `isShared`, peers are told. */
	readonly record: (requestId: string, softwareVersion: string, options: {readonly isShared: boolean; readonly nowMs: number}) => void;
	/** Returns the version at which a stream began, if it is known. */
	readonly resolve: (requestId: string, nowMs: number) => string | undefined;
	readonly merge: (reported: ReportedStreams, nowMs: number) => void;
	/** Returns the streams for the next report. Each is in two reports, so that one that is lost makes no difference. */
	readonly takeUpdates: () => ReportedStreams;
};

/** Time for which a stream is remembered: longer than callers wait for one. */
const RETENTION_MS = 60_000;
/** Maximum number of streams that are remembered. The one recorded first is dropped first. */
const MAX_STREAMS = 32_768;
/** Maximum number of new streams in one report, so that it fits into a datagram with reports of other entries. The rest follows with the next one. */
const MAX_REPORTED_STREAMS = 256;
const KEY_RADIX = 36;

/** Creates a record without streams. */
export function createStreamVersions(): StreamVersions {
	const streams = new Map<string, {readonly softwareVersion: string; readonly atMs: number; readonly isShared: boolean}>();
	let unreported: Array<{readonly key: string; readonly softwareVersion: string}> = [];
	let repeated: typeof unreported = [];

	return {
		record(requestId, softwareVersion, {isShared, nowMs}) {
			const key = toStreamKey(requestId);
			const wasShared = streams.get(key)?.isShared === true;
			setNewest(streams, {key, value: {softwareVersion, atMs: nowMs, isShared: isShared || wasShared}, maxSize: MAX_STREAMS});
			if (isShared && !wasShared) {
				unreported.push({key, softwareVersion});
			}
		},
		resolve(requestId, nowMs) {
			const stream = streams.get(toStreamKey(requestId));
			return stream !== undefined && nowMs - stream.atMs <= RETENTION_MS ? stream.softwareVersion : undefined;
		},
		merge(reported, nowMs) {
			for (const [softwareVersion, keys] of reported) {
				for (const key of keys) {
					setNewest(streams, {key, value: {softwareVersion, atMs: nowMs, isShared: true}, maxSize: MAX_STREAMS});
				}
			}
		},
		takeUpdates() {
			const keysByVersion = new Map<string, string[]>();
			const reported = unreported.slice(0, MAX_REPORTED_STREAMS);
			for (const {key, softwareVersion} of [...repeated, ...reported]) {
				keysByVersion.set(softwareVersion, [...keysByVersion.get(softwareVersion) ?? [], key]);
			}

			unreported = unreported.slice(MAX_REPORTED_STREAMS);
			repeated = reported;
			return [...keysByVersion];
		},
	};
}

/** Hashes an identifier to 64 bits: callers choose its length, and reports are sent many times a second. */
function toStreamKey(requestId: string): string {
	return `${hashIdentifier(requestId).toString(KEY_RADIX)}.${hashIdentifier(`stream/${requestId}`).toString(KEY_RADIX)}`;
}
