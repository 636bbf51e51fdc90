import {type MetadataPage, type MetadataStore} from '@damaskspool/runtime';
import {ERROR_CODES, type Failure} from '@damaskspool/shared';

/** Options of {@link watchObjects}. */
export type WatchObjectsOptions = {
	readonly store: MetadataStore;
	readonly kind: string;
	/** Told of a whole list, or of changes since. */
	readonly onPage: (page: MetadataPage, isWhole: boolean) => void;
	readonly onFailure: (failure: Failure) => void;
	readonly isStopped: () => boolean;
};

/** First wait after a failed call, doubled by each further one. */
const RETRY_BASE_MS = 60;
/** Longest wait after failed calls: well under the time in which a change has to be in force. */
const RETRY_LIMIT_MS = 400;

/**
 * Follows the objects of a kind until it is stopped: lists them, then watches
 * for changes, and lists again where the store no longer keeps the changes.
 *
 * @param options - store, kind, and who is told
 */
export async function watchObjects({store, kind, onPage, onFailure, isStopped}: WatchObjectsOptions): Promise<void> {
	let version: number | undefined;
	let failures = 0;
	while (!isStopped()) {
		const isWhole = version === undefined;
		const reply = await (version === undefined ? store.list(kind) : store.watch(kind, version));
		if (reply.ok) {
			failures = 0;
			version = Math.max(version ?? 0, reply.val.version);
			if (isWhole || reply.val.objects.length > 0) {
				onPage(reply.val, isWhole);
			}

			continue;
		}

		if (reply.val.code === ERROR_CODES.historyGone) {
			version = undefined;
			continue;
		}

		failures += 1;
		onFailure(reply.val);
		await waitBeforeRetry(failures);
	}
}

async function waitBeforeRetry(failures: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, Math.min(RETRY_LIMIT_MS, RETRY_BASE_MS * (2 ** (failures - 1))));
	});
}
