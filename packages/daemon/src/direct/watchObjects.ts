import {setTimeout as wait} from 'node:timers/promises';
import {
	formatError, type MetadataPage, type MetadataStore, type ReadObjectsOptions,
} from '@damaskspool/runtime';
import {createFailure, ERROR_CODES, type Failure} from '@damaskspool/shared';

/** Options of {@link watchObjects}. */
export type WatchObjectsOptions<Value> = Required<ReadObjectsOptions<Value>> & {
	readonly store: MetadataStore;
	readonly kind: string;
	/** Called with the full list of objects, or with the changes since the previous page. */
	readonly onPage: (page: MetadataPage<Value>, isFullList: boolean) => void;
	/** Called when a watch has ended without changes. */
	readonly onUnchanged?: () => void;
	readonly onFailure: (failure: Failure) => void;
	readonly isStopped: () => boolean;
};

/**
 * Pause after changes, so that changes in quick succession cost one call: a small part of the time within which a
 * change must take effect.
 */
const CHANGE_PAUSE_MS = 400;
/** Delay after the first failed call; each further failure doubles it. */
const MIN_RETRY_DELAY_MS = 60;
/** Maximum delay after failed calls: well under the time within which a change must take effect. */
const MAX_RETRY_DELAY_MS = 400;

/**
 * Watches the objects of a kind until it is stopped. Lists all objects first, then
 * watches for changes, and lists again if the store no longer retains the changes
 * since the last version seen.
 */
export async function watchObjects<Value>({store, kind, parseValue, onPage, onUnchanged, onFailure, isStopped}: WatchObjectsOptions<Value>): Promise<void> {
	let version: number | undefined;
	let failureCount = 0;

	const waitAfterFailure = async (failure: Failure) => {
		failureCount += 1;
		onFailure(failure);
		await wait(Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * (2 ** (failureCount - 1))));
	};

	const callStore = async () => {
		const isFullList = version === undefined;
		const result = await (version === undefined ? store.list(kind, {parseValue}) : store.watch(kind, version, {parseValue}));
		if (result.err) {
			if (result.val.code === ERROR_CODES.historyGone) {
				version = undefined;
			} else {
				await waitAfterFailure(result.val);
			}

			return;
		}

		version = Math.max(version ?? 0, result.val.version);
		const hasChanges = result.val.objects.length > 0;
		if (isFullList || hasChanges) {
			onPage(result.val, isFullList);
		} else {
			onUnchanged?.();
		}

		failureCount = 0;
		if (!isFullList && hasChanges) {
			await wait(CHANGE_PAUSE_MS);
		}
	};

	while (!isStopped()) {
		try {
			await callStore();
		} catch (error) {
			// A page that cannot be handled must not end the watch. The list makes up for what it lacked.
			version = undefined;
			await waitAfterFailure(createFailure(ERROR_CODES.internal, {detail: formatError(error)}));
		}
	}
}
