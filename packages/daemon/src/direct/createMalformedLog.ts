import {setNewest} from '@damaskspool/shared';

/** What a line says of a malformed object. */
export type MalformedObject = {readonly name: string; readonly detail?: string; readonly version?: number | undefined};

/** Options of {@link createMalformedLog}. */
export type MalformedLogOptions = {
	/** Writes a line. `omitted` is the number of objects that no line told of since the last one. */
	readonly write: (context: MalformedObject & {readonly omitted?: number}) => void;
	/** Monotonic clock in milliseconds. */
	readonly readClock?: () => number;
};

/** Log of malformed objects, which are read again and again while they stay in the store. */
export type MalformedLog = {
	/** Writes a line, unless one told the same of the object, or too many were written. */
	readonly record: (object: MalformedObject) => void;
	/** Records that the object is sound or gone. */
	readonly clear: (name: string) => void;
};

/** Lines that are written at once, and the time in which one more becomes available. */
const MAX_LINES = 10;
const LINE_INTERVAL_MS = 6000;
/** Time for which an object that changes gets no second line. */
const OBJECT_INTERVAL_MS = 60_000;
/** Objects that are remembered. */
const MAX_OBJECTS = 1000;
/** Characters of an object's name in a line. */
const MAX_NAME_LENGTH = 200;

/** Creates a log of malformed objects. It states each object once while it stays as it is, and a few of many at once. */
export function createMalformedLog({write, readClock = () => performance.now()}: MalformedLogOptions): MalformedLog {
	const statedObjects = new Map<string, {readonly detail: string | undefined; readonly statedAtMs: number; isMalformed: boolean}>();
	let availableLines = MAX_LINES;
	let refilledAtMs = readClock();
	let omitted = 0;

	return {
		record(object) {
			const nowMs = readClock();
			const name = object.name.slice(0, MAX_NAME_LENGTH);
			const stated = statedObjects.get(name);
			const isKnown = stated?.isMalformed === true && stated.detail === object.detail;
			if (isKnown) {
				return;
			}

			availableLines = Math.min(MAX_LINES, availableLines + ((nowMs - refilledAtMs) / LINE_INTERVAL_MS));
			refilledAtMs = nowMs;
			if (availableLines < 1 || (stated !== undefined && nowMs - stated.statedAtMs < OBJECT_INTERVAL_MS)) {
				omitted += 1;
				return;
			}

			availableLines -= 1;
			setNewest(statedObjects, {key: name, value: {detail: object.detail, statedAtMs: nowMs, isMalformed: true}, maxSize: MAX_OBJECTS});
			write({...object, name, ...(omitted > 0 && {omitted})});
			omitted = 0;
		},
		clear(name) {
			const stated = statedObjects.get(name.slice(0, MAX_NAME_LENGTH));
			if (stated !== undefined) {
				stated.isMalformed = false;
			}
		},
	};
}
