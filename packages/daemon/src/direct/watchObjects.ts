import {type MetadataPage, type MetadataStore} from '@damaskspool/runtime';
import {ERROR_CODES, type Failure} from '@damaskspool/shared';

/** Options of {@link watchObjects}. */
export type WatchObjectsOptions = {
	readonly store: MetadataStore;
	readonly kind: string;
	/** Told of a whole list, or of changes since. */
	readonly onPage: (page: MetadataPage, isFullList: boolean) => void;
	readonly onFailure: (failure: Failure) => void;
	readonly isStopped: () => boolean;
};

/** First wait after a failed call, doubled by each further one. */
const MIN_RETRY_DELAY_MS = 60;
/** Longest wait after failed calls: well under the time in which a change has to be in force. */
const MAX_RETRY_DELAY_MS = 400;

/**
 * Follows the objects of a kind until it is stopped: lists them, then watches
 * for changes, and lists again where the store no longer keeps the changes.
 *
 * @param options - store, kind, and who is told
 */
export async function watchObjects({store, kind, onPage, onFailure, isStopped}: WatchObjectsOptions): Promise<void> {
	let version: number | undefined;
	let failureCount = 0;
	while (!isStopped()) {
		const isFullList = version === undefined;
		const result = await (version === undefined ? store.list(kind) : store.watch(kind, version));
		if (result.ok) {
			failureCount = 0;
			version = Math.max(version ?? 0, result.val.version);
			if (isFullList || result.val.objects.length > 0) {
				onPage(result.val, isFullList);
			}

			continue;
		}

		if (result.val.code === ERROR_CODES.historyGone) {
			version = undefined;
			continue;
		}

		failureCount += 1;
		onFailure(result.val);
		await waitBeforeRetry(failureCount);
	}
}

async function waitBeforeRetry(failureCount: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * (2 ** (failureCount - 1))));
	});
}
