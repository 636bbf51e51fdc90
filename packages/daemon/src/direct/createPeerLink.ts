import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {
	computeReportInterval, createWorkWindow, hasWorkTime, type PeerReport, recordWork,
} from '@damaskspool/core';
import {JSONRPCClient, JSONRPCServer} from 'json-rpc-2.0';
import {type PeerAddress} from './createPeerDirectory.js';
import {formatPeerReport, parsePeerReports, type PeerReportTuple} from './peerReportTuple.js';

/** Receivers of one report. Receivers in the same zone also get the pending reports of other zones. */
export type PeerReceivers = {readonly sameZone: readonly PeerAddress[]; readonly otherZones: readonly PeerAddress[]};

/** Options of {@link createPeerLink}. */
export type PeerLinkOptions = {
	readonly ip: string;
	readonly port: number;
	readonly createReport: () => PeerReport;
	/** Returns the receivers of a report; `round` is the number of the report. */
	readonly listReceivers: (round: number) => PeerReceivers;
	readonly countPeers: () => number;
	readonly onReport: (report: PeerReport) => void;
	readonly onFailure: (detail: string) => void;
};

/** UDP link over which entries exchange reports. */
export type PeerLink = {
	/** Schedules a report. Calls before it is sent have no further effect. */
	readonly scheduleReport: () => void;
	/** Sends a report now. */
	readonly flush: () => void;
	readonly close: () => void;
};

/** RPC methods between entries. `forward` also requests that the receiver forwards the reports within its zone. */
const METHODS = {receive: 'work', forward: 'workToPassOn'} as const;
/** Maximum interval between reports. */
const MAX_REPORT_INTERVAL_MS = 250;
/** Maximum number of reports that wait to be forwarded: more than the entries of all zones send between two reports of the local entry. */
const MAX_REPORTS_TO_FORWARD = 128;
/** Maximum number of reports in one datagram; that many stay below the maximum datagram size. */
const MAX_REPORTS_PER_DATAGRAM = 8;

/**
 * Creates the link over which an entry reports its work to its peers. The link also
 * forwards reports from entries of other zones to the peers of the local zone.
 *
 * @returns the link, already bound to its port
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {ip, port, createReport, listReceivers, countPeers, onReport, onFailure} = options;
	const socket = createSocket('udp4');
	let reportsToForward: PeerReportTuple[] = [];
	let timer: NodeJS.Timeout | undefined;
	let lastSentAtMs = 0;
	let round = 0;

	const scheduleReport = () => {
		const intervalMs = computeReportInterval(countPeers());
		timer ??= setTimeout(flush, Math.max(0, lastSentAtMs + intervalMs - performance.now()));
	};

	const receiveReports = (parameters: unknown): readonly PeerReport[] => {
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
	receiver.addMethod(METHODS.receive, receiveReports);
	receiver.addMethod(METHODS.forward, (parameters: unknown) => {
		const reports = receiveReports(parameters);
		reportsToForward = [...reportsToForward, ...reports.map(report => formatPeerReport(report))].slice(-MAX_REPORTS_TO_FORWARD);
		scheduleReport();
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
		round += 1;
		const {sameZone, otherZones} = listReceivers(round);
		const localReport = formatPeerReport(createReport());
		sender.notify(METHODS.forward, [localReport], otherZones);
		const reports = [localReport, ...reportsToForward];
		reportsToForward = [];
		for (let start = 0; start < reports.length; start += MAX_REPORTS_PER_DATAGRAM) {
			sender.notify(METHODS.receive, reports.slice(start, start + MAX_REPORTS_PER_DATAGRAM), sameZone);
		}
	}

	const workWindow = createWorkWindow();
	let droppedCount = 0;

	const receiveDatagram = async (bytes: Buffer) => {
		const startedAtMs = performance.now();
		// A later report tells what a dropped one did.
		if (!hasWorkTime(workWindow, startedAtMs)) {
			droppedCount += 1;
			return;
		}

		if (droppedCount > 0) {
			onFailure(`${droppedCount} datagrams were dropped, for which there was no time`);
			droppedCount = 0;
		}

		try {
			await receiver.receive(JSON.parse(bytes.toString('utf8')) as Parameters<typeof receiver.receive>[0]);
		} catch (error) {
			onFailure((error as Error).message);
		} finally {
			recordWork(workWindow, performance.now() - startedAtMs);
		}
	};

	socket.on('message', bytes => {
		void receiveDatagram(bytes);
	});
	socket.on('error', error => {
		onFailure(error.message);
	});
	socket.bind(port, ip);
	const heartbeat = setInterval(() => {
		if (performance.now() - lastSentAtMs >= MAX_REPORT_INTERVAL_MS) {
			flush();
		}
	}, MAX_REPORT_INTERVAL_MS);

	return {
		scheduleReport,
		flush,
		close() {
			clearTimeout(timer);
			clearInterval(heartbeat);
			socket.close();
		},
	};
}
