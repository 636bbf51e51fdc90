import {z} from 'zod';
import {type PeerReport} from '@damaskspool/core';

const countsSchema = z.record(z.string(), z.number());

/** A report by position: it is sent many times a second, and bytes between zones are dear. */
const formSchema = z.tuple([
	z.string(),
	z.string(),
	z.string(),
	z.number(),
	z.number(),
	z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()])),
	z.array(z.tuple([z.string(), z.string(), z.number()])),
	z.array(z.tuple([z.string(), z.string()])),
	z.array(z.tuple([z.number(), countsSchema])),
]);

/** See {@link formatPeerReport}. */
export type PeerReportForm = z.infer<typeof formSchema>;

/**
 * Writes a report by position.
 *
 * @param report - the report
 * @returns its values: entry, process, zone, sequence, work, uses, crashes, usage
 */
export function formatPeerReport(report: PeerReport): PeerReportForm {
	return [
		report.entryId,
		report.processId,
		report.availabilityZone,
		report.sequence,
		report.wallMs,
		report.work.map(work => [...work]),
		report.prefixUses.map(use => [...use]),
		report.crashes.map(([fingerprint, targetId]) => [fingerprint, targetId]),
		report.usage.map(([windowId, counts]) => [windowId, {...counts}]),
	];
}

/**
 * Reads reports that were written by position.
 *
 * @param parameters - their values
 * @returns the reports, or undefined where the values are none
 */
export function parsePeerReports(parameters: unknown): readonly PeerReport[] | undefined {
	const parsed = z.array(formSchema).safeParse(parameters);
	return parsed.success
		? parsed.data.map(([entryId, processId, availabilityZone, sequence, wallMs, work, prefixUses, crashes, usage]) => ({
			entryId, processId, availabilityZone, sequence, wallMs, work, prefixUses, crashes, usage,
		}))
		: undefined;
}
