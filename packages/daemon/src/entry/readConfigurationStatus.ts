import {type RpcClient} from '@damaskspool/runtime';
import {configurationReplySchema, type InstanceRecord} from '@damaskspool/shared';

/** Which entries have a revision in force. */
export type ConfigurationStatus = {
	readonly revision: number;
	/** Entries that have this revision or a later one. */
	readonly confirmed: number;
	/** The others, by identifier. */
	readonly missing: ReadonlyArray<{readonly instanceId: string; readonly reason: string}>;
};

/** Options of {@link readConfigurationStatus}. */
export type ReadStatusOptions = {
	readonly rpc: RpcClient;
	readonly peers: readonly InstanceRecord[];
	readonly revision: number;
	/** Revision of the entry that asks. */
	readonly own: {readonly instanceId: string; readonly revision: number};
};

/** Peers that are asked at once. */
const CALLS_AT_ONCE = 32;

/**
 * Asks every entry for its revision. At 860 entries this takes some hundreds of
 * kilobytes, so it runs when an operator waits and at no other time.
 *
 * @param options - whom to ask, and for which revision
 * @returns who has it and who does not
 */
export async function readConfigurationStatus({rpc, peers, revision, own}: ReadStatusOptions): Promise<ConfigurationStatus> {
	const missing: Array<{instanceId: string; reason: string}> = [];
	const note = (instanceId: string, reason: string | undefined) => {
		if (reason !== undefined) {
			missing.push({instanceId, reason});
		}
	};

	note(own.instanceId, own.revision >= revision ? undefined : `has revision ${own.revision}`);
	for (let start = 0; start < peers.length; start += CALLS_AT_ONCE) {
		await Promise.all(peers.slice(start, start + CALLS_AT_ONCE).map(async ({instanceId, address}) => {
			const read = await rpc.call(address, 'configuration.get', {});
			const answer = read.ok ? configurationReplySchema.safeParse(read.val).data : undefined;
			note(instanceId, describeAnswer(answer?.revision, revision));
		}));
	}

	return {revision, confirmed: peers.length + 1 - missing.length, missing};
}

function describeAnswer(found: number | undefined, revision: number): string | undefined {
	if (found === undefined) {
		return 'does not answer';
	}

	return found >= revision ? undefined : `has revision ${found}`;
}
