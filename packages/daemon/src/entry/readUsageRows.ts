import {
	toPartKey, toProgressKey, toSealKey, usagePartSchema, usageProgressSchema, type UsageRow, usageSealSchema,
} from '@damaskspool/shared';
import {type EntryContext} from './entryPart.js';

/** Sealed windows that a query looks back on. */
const WINDOW_LIMIT = 96;

/** A row of sealed usage with the window that reported it. */
export type SealedUsageRow = UsageRow & {readonly window: number};

/**
 * Reads the sealed usage of the entry's region from the object API.
 *
 * @param context - what the entry shares among its parts
 * @returns rows of the latest windows, oldest first; undefined where the store does not answer
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

	const windows = Array.from({length: WINDOW_LIMIT}, (_, index) =>
		progress.sealedThrough - ((WINDOW_LIMIT - 1 - index) * settings.usageWindow));
	const rows = await Promise.all(windows.map(async window => readWindow({objectApi, settings}, window)));
	return rows.includes(undefined) ? undefined : rows.flatMap(part => part ?? []);
}

async function readWindow(
	{objectApi, settings}: Pick<EntryContext, 'objectApi' | 'settings'>,
	window: number,
): Promise<SealedUsageRow[] | undefined> {
	const read = await objectApi.read(toSealKey(settings.region, window));
	if (read.err) {
		return undefined;
	}

	const seal = usageSealSchema.safeParse(read.val?.value).data;
	const parts = await Promise.all(Array.from({length: seal?.partCount ?? 0}, async (_, part) =>
		objectApi.read(toPartKey(settings.region, seal!, part))));
	if (parts.some(part => part.err)) {
		return undefined;
	}

	return parts.flatMap(part => part.ok ? usagePartSchema.parse(part.val?.value).rows.map(row => ({...row, window})) : []);
}
