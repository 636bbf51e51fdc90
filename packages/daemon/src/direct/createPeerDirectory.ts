import {z} from 'zod';
import {type Logger, type MetadataStore} from '@damaskspool/runtime';
import {isPort, isUsableIp} from '@damaskspool/shared';
import {createMalformedLog} from './createMalformedLog.js';

/** Address at which an entry receives reports of its peers. */
export type PeerAddress = {readonly ip: string; readonly port: number; readonly availabilityZone: string};

/** Options of {@link createPeerDirectory}. */
export type PeerDirectoryOptions = {
	readonly store: MetadataStore;
	readonly kind: string;
	readonly instanceId: string;
	readonly processId: string;
	readonly address: PeerAddress;
	readonly logger: Logger;
	/** Called with the registered peers after every list; the local entry is not among them. */
	readonly onPeers: (addresses: ReadonlyMap<string, PeerAddress>) => void;
};

/** Interval between lists of peers. A new peer also becomes known through its first report. */
const LIST_INTERVAL_MS = 4000;
/** Delay after a failed call. */
const RETRY_DELAY_MS = 700;

const entrySchema = z.object({
	ip: z.string().refine(ip => isUsableIp(ip)), port: z.number().refine(port => isPort(port)), availabilityZone: z.string(), processId: z.string(),
});

/** Registers the local entry in the store and lists its peers there until it is stopped. */
export function createPeerDirectory(options: PeerDirectoryOptions): {readonly stop: () => void} {
	const {store, kind, instanceId, processId, address, logger, onPeers} = options;
	/** Whether the last list contained the local registration. Lists that may be stale are enough until it is missing. */
	let isRegistered = false;
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	const malformedPeers = createMalformedLog({
		write(context) {
			logger.warn('peer.malformed', context);
		},
	});

	const run = async () => {
		const mayBeStale = isRegistered;
		const listed = await store.list(kind, {mayBeStale, parseValue: (_name, value) => entrySchema.safeParse(value).data});
		let hasSucceeded = listed.ok;
		if (listed.ok) {
			const localEntry = listed.val.objects.find(({name}) => name === instanceId);
			isRegistered = localEntry?.value?.processId === processId;
			if (!isRegistered) {
				// A stale list is no base for a write: it may be older than the registration that it lacks.
				const written = mayBeStale ? undefined : await store.write(kind, instanceId, {...address, processId}, localEntry?.version ?? 0);
				hasSucceeded = written?.ok ?? false;
			}

			const peers = new Map<string, PeerAddress>();
			for (const {name, value: peer} of listed.val.objects) {
				if (name === instanceId) {
					continue;
				}

				if (peer === undefined) {
					malformedPeers.record({name});
				} else {
					malformedPeers.clear(name);
					peers.set(name, peer);
				}
			}

			onPeers(peers);
		}

		if (!isStopped) {
			timer = setTimeout(() => {
				void run();
			}, hasSucceeded ? LIST_INTERVAL_MS : RETRY_DELAY_MS);
		}
	};

	void run();
	return {
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
