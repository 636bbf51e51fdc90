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
import {type EntryContext, type EntryComponent} from './entryComponent.js';
import {type ConfigurationStatus, readConfigurationStatus} from './readConfigurationStatus.js';

/** Component of an entry that keeps its configuration up to date. */
export type ConfigurationComponent = EntryComponent<'configuration.watchStore' | 'configuration.queryPeer' | 'configuration.pass'> & {
	/** Proposes a change. The change is accepted once the promise resolves with a receipt. */
	readonly proposeChange: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
	/** Queries every entry whether it has a revision; the default is the revision of this entry's copy. */
	readonly readStatus: (revision?: number) => Promise<ConfigurationStatus>;
};

/**
 * Time limit of calls that confirm the configuration. A store that responds more slowly counts as unavailable, both for
 * the confirmation of API keys and for proposals: entries could not read an accepted change in time.
 */
const CONFIGURATION_CALL_TIMEOUT_MS = 800;
/**
 * Maximum duration of one watch call. Each return confirms the current revision, so this bounds the age of the last
 * confirmation while the store is available.
 */
const WATCH_TIMEOUT_MS = 500;
const updateParametersSchema = z.strictObject({update: configurationUpdateSchema});
const statusParametersSchema = z.strictObject({revision: z.number().int().positive().optional()});

/**
 * Creates the component that reads, forwards and changes the configuration. The core package decides when to query the
 * store and which peers to query.
 */
export function createConfigurationComponent(context: EntryContext): ConfigurationComponent {
	const {metrics, settings, dispatch, readState, readClock} = context;
	const {objectApi, rpc} = createClients(context);
	const store = createConfigurationStore({
		objectApi,
		readLocalCopy: () => readState().configuration.copy,
		onUpdate(update, source) {
			dispatch({type: 'configuration.updated', update, source});
		},
	});
	let latestStored: StoredConfiguration | undefined;
	let isWatching = false;
	const requestedPeers = new Set<string>();

	const readStore = async () => {
		const sentAtMs = readClock();
		const stored = await store.read();
		if (stored.err) {
			dispatch({type: 'configuration.storeUnreachable', elapsedMs: readClock() - sentAtMs});
			return;
		}

		latestStored = stored.val;
		if (stored.val.update !== undefined) {
			dispatch({type: 'configuration.updated', update: stored.val.update, source: 'store'});
		}

		dispatch({type: 'configuration.storeConfirmed', revision: stored.val.head?.revision ?? 0, elapsedMs: readClock() - sentAtMs});
	};

	const watchStore = async () => {
		if (latestStored?.head === undefined) {
			await readStore();
			return;
		}

		const sentAtMs = readClock();
		const watched = await objectApi.watch(CONFIGURATION_HEAD_KEY, latestStored.version);
		if (watched.err) {
			dispatch({type: 'configuration.storeUnreachable', elapsedMs: readClock() - sentAtMs});
		} else if (watched.val.changes.length > 0) {
			await readStore();
		} else {
			dispatch({type: 'configuration.storeConfirmed', revision: latestStored.head.revision, elapsedMs: readClock() - sentAtMs});
		}
	};

	const requestPeerConfiguration = async (peerId: string, address: string) => {
		const sentAtMs = readClock();
		const request = {instanceId: settings.instanceId, revision: readState().configuration.copy.revision};
		const response = await rpc.call(address, 'configuration.ask', request);
		const answer = response.ok ? configurationReplySchema.safeParse(response.val).data : undefined;
		if (answer === undefined) {
			const isAbsent = response.err && response.val.message.includes('ECONNREFUSED');
			dispatch({type: 'configuration.peerUnreachable', peerId, isAbsent});
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
			'configuration.queryPeer'({peerId, address}) {
				if (requestedPeers.has(peerId)) {
					return;
				}

				requestedPeers.add(peerId);
				void (async () => {
					await requestPeerConfiguration(peerId, address);
					requestedPeers.delete(peerId);
				})();
			},
			'configuration.pass'({addresses, update}) {
				for (const address of addresses) {
					// No retry: a peer that misses the update requests it within a second.
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
				return {...toConfigurationAnswer(readState(), readClock()), ...(update !== undefined && {update})};
			},
			'configuration.get': () => toConfigurationAnswer(readState(), readClock()),
			'configuration.pass'(parameters) {
				const {update} = updateParametersSchema.parse(parameters);
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
			metrics.setGauge('known_entries', [...readState().propagation.tree.zones.values()].flat().length);
			if (Number.isFinite(confirmedAtMs)) {
				metrics.setGauge('configuration_confirmed_age_ms', readClock() - confirmedAtMs);
			}
		},
		async stop() {
			await Promise.all([rpc.close(), objectApi.close()]);
		},
	};

	async function readStatus(revision?: number): Promise<ConfigurationStatus> {
		const {configuration, propagation, instanceId} = readState();
		return readConfigurationStatus({
			rpc,
			peers: [...propagation.tree.zones.values()].flat(),
			revision: revision ?? configuration.copy.revision,
			local: {instanceId, revision: configuration.copy.revision},
		});
	}
}

/** Creates clients with separate connections, so that other calls of the entry do not delay a confirmation. */
function createClients({settings, metrics}: EntryContext): {objectApi: ReturnType<typeof createObjectApiClient>; rpc: RpcClient} {
	return {
		objectApi: createObjectApiClient({
			address: settings.platform,
			callTimeoutMs: CONFIGURATION_CALL_TIMEOUT_MS,
			watchTimeoutMs: WATCH_TIMEOUT_MS,
			onCall(kind, bytes) {
				metrics.count(`store_calls_total{kind="${kind}"}`);
				metrics.count('control_bytes_total', bytes);
				metrics.count('configuration_bytes_total', bytes);
			},
		}),
		rpc: createRpcClient({
			timeoutMs: CONFIGURATION_CALL_TIMEOUT_MS,
			onCall(method, bytes) {
				metrics.count(`rpc_calls_total{method="${method}"}`);
				metrics.count('control_bytes_total', bytes);
				metrics.count('configuration_bytes_total', bytes);
			},
		}),
	};
}

function toConfigurationAnswer({instanceId, configuration, propagation}: EntryState, nowMs: number): ConfigurationReply {
	const {confirmedAtMs, copy} = configuration;
	return {
		instanceId,
		revision: copy.revision,
		...(Number.isFinite(confirmedAtMs) && {confirmedAgeMs: nowMs - confirmedAtMs}),
		...(propagation.storeUnavailableSinceMs !== undefined && {storeSilentAgeMs: nowMs - propagation.storeUnavailableSinceMs}),
	};
}
