import {createUpdate, type EntryState} from '@damaskspool/core';
import {
	createObjectApiClient, createRpcClient, type RpcClient,
} from '@damaskspool/runtime';
import {
	type ChangeReceipt, CONFIGURATION_HEAD_KEY, type ConfigurationReply, configurationReplySchema, type ConfigurationProposal,
	configurationRequestSchema, configurationUpdateSchema, type Failure, type Result,
} from '@damaskspool/shared';
import {z} from 'zod';
import {createConfigurationStore, type StoredConfiguration} from './createConfigurationStore.js';
import {type EntryContext, type EntryPart} from './entryPart.js';
import {type ConfigurationStatus, readConfigurationStatus} from './readConfigurationStatus.js';

/** The part of an entry that keeps its configuration. */
export type ConfigurationPart = EntryPart<'configuration.watchStore' | 'configuration.askPeer' | 'configuration.pass'> & {
	/** Proposes a change; accepted once the receipt is there. */
	readonly proposeChange: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
	/** Asks every entry whether it has a revision, by default the one in force here. */
	readonly readStatus: (revision?: number) => Promise<ConfigurationStatus>;
};

/**
 * Time limit of calls that confirm the configuration. A store slower than this
 * counts as down for keys, for proposals as well: what nobody can read in time
 * is not accepted in time either.
 */
const CALL_TIMEOUT_MS = 800;
/** Longest wait of a watch: each return confirms the revision, so it bounds the age of what entries know. */
const WATCH_TIMEOUT_MS = 500;
const passParametersSchema = z.strictObject({update: configurationUpdateSchema});
const statusParametersSchema = z.strictObject({revision: z.number().int().positive().optional()});

/**
 * Creates the part of an entry that reads, passes on and changes the
 * configuration. Whom to ask and when is decided in core.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createConfigurationPart(context: EntryContext): ConfigurationPart {
	const {metrics, settings, dispatch, readState, readClock} = context;
	const {objectApi, rpc} = createClients(context);
	const store = createConfigurationStore({
		objectApi,
		readCopy: () => readState().configuration.copy,
		onUpdate(update, source) {
			dispatch({type: 'configuration.updated', update, source});
		},
	});
	let latest: StoredConfiguration | undefined;
	let isWatching = false;
	const asking = new Set<string>();

	const readStore = async () => {
		const sentAtMs = readClock();
		const read = await store.read();
		if (read.err) {
			dispatch({type: 'configuration.storeSilent', elapsedMs: readClock() - sentAtMs});
			return;
		}

		latest = read.val;
		if (read.val.update !== undefined) {
			dispatch({type: 'configuration.updated', update: read.val.update, source: 'store'});
		}

		dispatch({type: 'configuration.storeConfirmed', revision: read.val.head?.revision ?? 0, elapsedMs: readClock() - sentAtMs});
	};

	const watchStore = async () => {
		if (latest?.head === undefined) {
			await readStore();
			return;
		}

		const sentAtMs = readClock();
		const seen = await objectApi.watch(CONFIGURATION_HEAD_KEY, latest.version);
		if (seen.err) {
			dispatch({type: 'configuration.storeSilent', elapsedMs: readClock() - sentAtMs});
		} else if (seen.val.changes.length > 0) {
			await readStore();
		} else {
			dispatch({type: 'configuration.storeConfirmed', revision: latest.head.revision, elapsedMs: readClock() - sentAtMs});
		}
	};

	const askPeer = async (peerId: string, address: string) => {
		const sentAtMs = readClock();
		const question = {instanceId: settings.instanceId, revision: readState().configuration.copy.revision};
		const read = await rpc.call(address, 'configuration.ask', question);
		const answer = read.ok ? configurationReplySchema.safeParse(read.val).data : undefined;
		if (answer === undefined) {
			const isAbsent = read.err && read.val.message.includes('ECONNREFUSED');
			dispatch({type: 'configuration.peerSilent', peerId, isAbsent});
			return;
		}

		if (answer.update !== undefined) {
			dispatch({type: 'configuration.updated', update: answer.update, source: 'peer'});
		}

		dispatch({
			type: 'configuration.peerAnswered', peerId, answer, elapsedMs: readClock() - sentAtMs,
		});
	};

	return {
		effectHandlers: {
			'configuration.watchStore'() {
				if (isWatching) {
					return;
				}

				isWatching = true;
				void (async () => {
					await watchStore();
					isWatching = false;
				})();
			},
			'configuration.askPeer'({peerId, address}) {
				if (asking.has(peerId)) {
					return;
				}

				asking.add(peerId);
				void (async () => {
					await askPeer(peerId, address);
					asking.delete(peerId);
				})();
			},
			'configuration.pass'({addresses, update}) {
				for (const address of addresses) {
					// Whoever misses it asks within a second.
					void rpc.call(address, 'configuration.pass', {update});
				}
			},
		},
		rpcMethods: {
			'configuration.ask'(parameters) {
				const {instanceId, revision} = configurationRequestSchema.parse(parameters);
				const {copy} = readState().configuration;
				if (revision > copy.revision) {
					dispatch({type: 'configuration.peerAhead', peerId: instanceId});
				}

				const update = createUpdate(copy, revision);
				return {...toAnswer(readState(), readClock()), ...(update !== undefined && {update})};
			},
			'configuration.get': () => toAnswer(readState(), readClock()),
			'configuration.pass'(parameters) {
				const {update} = passParametersSchema.parse(parameters);
				dispatch({type: 'configuration.updated', update, source: 'peer'});
				return {};
			},
			'configuration.status': async parameters => readStatus(statusParametersSchema.parse(parameters).revision),
		},
		proposeChange: async proposal => store.propose(proposal),
		readStatus,
		updateGauges() {
			const {confirmedAtMs, revision} = readState().configuration;
			metrics.setGauge('configuration_revision', revision);
			metrics.setGauge('known_entries', [...readState().spread.tree.zones.values()].flat().length);
			if (Number.isFinite(confirmedAtMs)) {
				metrics.setGauge('configuration_confirmed_age_ms', readClock() - confirmedAtMs);
			}
		},
		async stop() {
			await Promise.all([rpc.close(), objectApi.close()]);
		},
	};

	async function readStatus(revision?: number): Promise<ConfigurationStatus> {
		const {configuration, spread, instanceId} = readState();
		return readConfigurationStatus({
			rpc,
			peers: [...spread.tree.zones.values()].flat(),
			revision: revision ?? configuration.copy.revision,
			own: {instanceId, revision: configuration.copy.revision},
		});
	}
}

/** Connections of its own, so that no other call of the entry holds up a confirmation. */
function createClients({settings, metrics}: EntryContext): {objectApi: ReturnType<typeof createObjectApiClient>; rpc: RpcClient} {
	return {
		objectApi: createObjectApiClient({
			address: settings.platform,
			callTimeoutMs: CALL_TIMEOUT_MS,
			watchTimeoutMs: WATCH_TIMEOUT_MS,
			onCall(kind, bytes) {
				metrics.count(`store_calls_total{kind="${kind}"}`);
				metrics.count('control_bytes_total', bytes);
				metrics.count('configuration_bytes_total', bytes);
			},
		}),
		rpc: createRpcClient({
			timeoutMs: CALL_TIMEOUT_MS,
			onCall(method, bytes) {
				metrics.count(`rpc_calls_total{method="${method}"}`);
				metrics.count('control_bytes_total', bytes);
				metrics.count('configuration_bytes_total', bytes);
			},
		}),
	};
}

function toAnswer({instanceId, configuration, spread}: EntryState, nowMs: number): ConfigurationReply {
	const {confirmedAtMs, copy} = configuration;
	return {
		instanceId,
		revision: copy.revision,
		...(Number.isFinite(confirmedAtMs) && {confirmedAgeMs: nowMs - confirmedAtMs}),
		...(spread.storeSilentSinceMs !== undefined && {storeSilentAgeMs: nowMs - spread.storeSilentSinceMs}),
	};
}
