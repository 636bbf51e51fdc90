import {
	toPartKey, toProgressKey, toSealKey, usagePartSchema, usageProgressSchema, type UsageRow, usageSealSchema,
} from '@damaskspool/shared';
import {type EntryContext} from './entryComponent.js';

/** Number of sealed windows that a query covers, back from the latest. */
const MAX_WINDOWS = 96;

/** A row of sealed usage with the start of the window that reported it, in milliseconds. */
export type SealedUsageRow = UsageRow & {readonly window: number};

/**
 * Reads the sealed usage of the entry's region from the object API.
 *
 * @returns rows of the latest windows, oldest window first; undefined if a read fails
 */
export async function readUsageRows({objectApi, settings}: EntryContext): Promise<SealedUsageRow[] | undefined> {
	const read = await objectApi.read(toProgressKey(settings.region));
	if (read.err) {
		return undefined;
	}

	const progress = usageProgressSchema.safeParse(read.val?.value).data;
	if (progress === undefined) {
		return [];
	}

	const windows = Array.from({length: MAX_WINDOWS}, (_, index) =>
		progress.sealedThrough - ((MAX_WINDOWS - 1 - index) * settings.usageWindow));
	const rows = await Promise.all(windows.map(async window => readSealedWindow({objectApi, settings}, window)));
	return rows.includes(undefined) ? undefined : rows.flatMap(windowRows => windowRows ?? []);
}

async function readSealedWindow(
	{objectApi, settings}: Pick<EntryContext, 'objectApi' | 'settings'>,
	window: number,
): Promise<SealedUsageRow[] | undefined> {
	const read = await objectApi.read(toSealKey(settings.region, window));
	if (read.err) {
		return undefined;
	}

	const seal = usageSealSchema.safeParse(read.val?.value).data;
	const partReads = await Promise.all(Array.from({length: seal?.partCount ?? 0}, async (_, partIndex) =>
		objectApi.read(toPartKey(settings.region, seal!, partIndex))));
	if (partReads.some(partRead => partRead.err)) {
		return undefined;
	}

	return partReads.flatMap(partRead => partRead.ok ? usagePartSchema.parse(partRead.val?.value).rows.map(row => ({...row, window})) : []);
}
