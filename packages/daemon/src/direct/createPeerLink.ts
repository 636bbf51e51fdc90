import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {JSONRPCClient, JSONRPCServer} from 'json-rpc-2.0';
import {type PeerReport} from '@damaskspool/core';
import {formatPeerReport, parsePeerReport} from './peerReportForm.js';

/** Options of {@link createPeerLink}. */
export type PeerLinkOptions = {
	readonly ip: string;
	readonly port: number;
	readonly createReport: () => PeerReport;
	readonly onReport: (report: PeerReport) => void;
	readonly onFailure: (detail: string) => void;
};

/** Datagrams between entries. */
export type PeerLink = {
	/** Sets whom reports go to, by entry. */
	readonly applyPeers: (addresses: ReadonlyMap<string, {readonly ip: string; readonly port: number}>) => void;
	/** Sends a report soon; several calls in a short time send one. */
	readonly tell: () => void;
	/** Sends a report now. */
	readonly flush: () => void;
	readonly close: () => void;
};

/** Shortest time between reports for a handful of peers: a fraction of the time that reading a prompt takes. */
const REPORT_INTERVAL_MS = 40;
/** Peers for which that interval holds; it grows with their number, so that an entry's messages stay bounded. */
const PEERS_AT_INTERVAL = 6;
/** Longest time between reports. */
const REPORT_LIMIT_MS = 250;

/**
 * Creates the link over which an entry tells its peers of its work.
 *
 * @param options - own address, and who makes and takes reports
 * @returns the link, listening
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {ip, port, createReport, onReport, onFailure} = options;
	const socket = createSocket('udp4');
	let peers: ReadonlyMap<string, {readonly ip: string; readonly port: number}> = new Map();
	let timer: NodeJS.Timeout | undefined;
	let lastSentAtMs = 0;

	const receiver = new JSONRPCServer();
	receiver.addMethod('work', (parameters: unknown) => {
		const report = parsePeerReport(parameters);
		if (report === undefined) {
			onFailure('a report of a peer is malformed');
			return;
		}

		onReport(report);
	});
	const sender = new JSONRPCClient(message => {
		const bytes = Buffer.from(JSON.stringify(message));
		for (const peer of peers.values()) {
			socket.send(bytes, peer.port, peer.ip, error => {
				if (error !== null) {
					onFailure(error.message);
				}
			});
		}
	});

	const flush = () => {
		clearTimeout(timer);
		timer = undefined;
		lastSentAtMs = performance.now();
		sender.notify('work', formatPeerReport(createReport()));
	};

	socket.on('message', bytes => {
		try {
			void receiver.receive(JSON.parse(bytes.toString('utf8')) as Parameters<typeof receiver.receive>[0]);
		} catch (error) {
			onFailure((error as Error).message);
		}
	});
	socket.on('error', error => {
		onFailure(error.message);
	});
	socket.bind(port, ip);
	const heartbeat = setInterval(() => {
		if (performance.now() - lastSentAtMs >= REPORT_LIMIT_MS) {
			flush();
		}
	}, REPORT_LIMIT_MS);

	return {
		applyPeers(addresses) {
			peers = addresses;
		},
		tell() {
			const intervalMs = REPORT_INTERVAL_MS * Math.max(1, peers.size / PEERS_AT_INTERVAL);
			timer ??= setTimeout(flush, Math.max(0, lastSentAtMs + intervalMs - performance.now()));
		},
		flush,
		close() {
			clearTimeout(timer);
			clearInterval(heartbeat);
			socket.close();
		},
	};
}
