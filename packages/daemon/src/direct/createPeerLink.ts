import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {computeReportInterval, type PeerReport} from '@damaskspool/core';
import {JSONRPCClient, JSONRPCServer} from 'json-rpc-2.0';
import {type PeerAddress} from './createPeerDirectory.js';
import {formatPeerReport, parsePeerReports, type PeerReportForm} from './peerReportForm.js';

/** Receivers of one report: those of the own zone also get the reports that are to be passed on. */
export type PeerReceivers = {readonly near: readonly PeerAddress[]; readonly far: readonly PeerAddress[]};

/** Options of {@link createPeerLink}. */
export type PeerLinkOptions = {
	readonly ip: string;
	readonly port: number;
	readonly createReport: () => PeerReport;
	/** Chooses who gets the report of a number. */
	readonly listReceivers: (turn: number) => PeerReceivers;
	readonly countPeers: () => number;
	readonly onReport: (report: PeerReport) => void;
	readonly onFailure: (detail: string) => void;
};

/** Datagrams between entries. */
export type PeerLink = {
	/** Sends a report soon; several calls in a short time send one. */
	readonly tell: () => void;
	/** Sends a report now. */
	readonly flush: () => void;
	readonly close: () => void;
};

/** Calls between entries: `passOn` also asks that the reports are passed on within the receiver's zone. */
const METHODS = {take: 'work', passOn: 'workToPassOn'} as const;
/** Longest time between reports. */
const REPORT_LIMIT_MS = 250;
/** Reports that wait to be passed on; more of them than entries of all zones send between two own reports. */
const WAITING_LIMIT = 128;
/** Reports in one datagram, which together stay under its greatest size. */
const DATAGRAM_REPORTS = 8;

/**
 * Creates the link over which an entry tells its peers of its work, and passes
 * on within its zone what entries of other zones told it.
 *
 * @param options - own address, receivers, and who makes and takes reports
 * @returns the link, listening
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {ip, port, createReport, listReceivers, countPeers, onReport, onFailure} = options;
	const socket = createSocket('udp4');
	let waiting: PeerReportForm[] = [];
	let timer: NodeJS.Timeout | undefined;
	let lastSentAtMs = 0;
	let turn = 0;

	const tell = () => {
		const intervalMs = computeReportInterval(countPeers());
		timer ??= setTimeout(flush, Math.max(0, lastSentAtMs + intervalMs - performance.now()));
	};

	const takeReports = (parameters: unknown): readonly PeerReport[] => {
		const reports = parsePeerReports(parameters);
		if (reports === undefined) {
			onFailure('a report of a peer is malformed');
			return [];
		}

		for (const report of reports) {
			onReport(report);
		}

		return reports;
	};

	const receiver = new JSONRPCServer();
	receiver.addMethod(METHODS.take, takeReports);
	receiver.addMethod(METHODS.passOn, (parameters: unknown) => {
		const reports = takeReports(parameters);
		waiting = [...waiting, ...reports.map(report => formatPeerReport(report))].slice(-WAITING_LIMIT);
		tell();
	});
	const sender = new JSONRPCClient<readonly PeerAddress[]>((message, receivers) => {
		const bytes = Buffer.from(JSON.stringify(message));
		for (const {ip: peerIp, port: peerPort} of receivers) {
			socket.send(bytes, peerPort, peerIp, error => {
				if (error !== null) {
					onFailure(error.message);
				}
			});
		}
	});

	function flush() {
		clearTimeout(timer);
		timer = undefined;
		lastSentAtMs = performance.now();
		turn += 1;
		const {near, far} = listReceivers(turn);
		const own = formatPeerReport(createReport());
		sender.notify(METHODS.passOn, [own], far);
		const reports = [own, ...waiting];
		waiting = [];
		for (let from = 0; from < reports.length; from += DATAGRAM_REPORTS) {
			sender.notify(METHODS.take, reports.slice(from, from + DATAGRAM_REPORTS), near);
		}
	}

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
		tell,
		flush,
		close() {
			clearTimeout(timer);
			clearInterval(heartbeat);
			socket.close();
		},
	};
}
