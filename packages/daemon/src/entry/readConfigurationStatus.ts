import {type RpcClient} from '@damaskspool/runtime';
import {configurationReplySchema, type InstanceRecord} from '@damaskspool/shared';

/** Which entries have a revision of the configuration. */
export type ConfigurationStatus = {
	readonly revision: number;
	/** Number of entries that have this revision or a later one. */
	readonly confirmed: number;
	/** The other entries, and why they are not counted. */
	readonly missing: ReadonlyArray<{readonly instanceId: string; readonly reason: string}>;
};

/** Options of {@link readConfigurationStatus}. */
export type ReadConfigurationStatusOptions = {
	readonly rpc: RpcClient;
	readonly peers: readonly InstanceRecord[];
	readonly revision: number;
	/** Id and revision of the entry that runs the query. */
	readonly local: {readonly instanceId: string; readonly revision: number};
};

const MAX_CONCURRENT_CALLS = 32;

/**
 * Queries every peer for its revision. With 860 entries this transfers several hundred kilobytes, so it runs only on an
 * operator's request.
 */
export async function readConfigurationStatus({rpc, peers, revision, local}: ReadConfigurationStatusOptions): Promise<ConfigurationStatus> {
	const missing: Array<{instanceId: string; reason: string}> = [];
	const addMissing = (instanceId: string, reason: string | undefined) => {
		if (reason !== undefined) {
			missing.push({instanceId, reason});
		}
	};

	addMissing(local.instanceId, local.revision >= revision ? undefined : `has revision ${local.revision}`);
	for (let start = 0; start < peers.length; start += MAX_CONCURRENT_CALLS) {
		await Promise.all(peers.slice(start, start + MAX_CONCURRENT_CALLS).map(async ({instanceId, address}) => {
			const response = await rpc.call(address, 'configuration.get', {});
			const answer = response.ok ? configurationReplySchema.safeParse(response.val).data : undefined;
			addMissing(instanceId, describeMissingRevision(answer?.revision, revision));
		}));
	}

	return {revision, confirmed: peers.length + 1 - missing.length, missing};
}

function describeMissingRevision(foundRevision: number | undefined, revision: number): string | undefined {
	if (foundRevision === undefined) {
		return 'does not answer';
	}

	return foundRevision >= revision ? undefined : `has revision ${foundRevision}`;
}
