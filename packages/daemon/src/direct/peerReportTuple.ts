import {z} from 'zod';
import {createListSchema, createRecordSchema} from '@damaskspool/shared';
import {
	MAX_IDENTIFIER_LENGTH, MAX_SERVICE_VERSIONS, MAX_SERVICES, type PeerReport,
} from '@damaskspool/core';

const identifierSchema = z.string().max(MAX_IDENTIFIER_LENGTH);
const countsSchema = createRecordSchema(z.string(), z.number());

/** A report as a tuple, without keys: reports are sent many times a second, and traffic between zones is expensive. */
const peerReportTupleSchema = z.tuple([
	z.string(),
	z.string(),
	z.string(),
	z.number(),
	z.number(),
	createListSchema(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()])),
	createListSchema(z.tuple([z.string(), z.string(), z.number()])),
	createListSchema(z.tuple([z.string(), z.number()])),
	createListSchema(z.tuple([z.string(), z.number(), z.number(), z.number()])),
	createListSchema(z.tuple([z.string(), z.string()])),
	z.tuple([
		createListSchema(z.tuple([z.string(), createListSchema(z.string())])),
		createListSchema(z.string()),
		createListSchema(z.tuple([createListSchema(z.string()), z.number(), z.number()])),
	]),
	createListSchema(z.tuple([z.string(), createListSchema(z.string())])),
	createListSchema(z.tuple([z.number(), z.number(), createListSchema(z.tuple([z.string(), z.string(), z.number()]))])),
	z.number().int().nonnegative(),
	createListSchema(z.tuple([z.number(), countsSchema])),
	createListSchema(z.tuple([z.number(), countsSchema])),
	createListSchema(z.tuple([z.number().int().positive(), z.boolean(), createListSchema(z.tuple([identifierSchema, createListSchema(identifierSchema, {maxLength: MAX_SERVICE_VERSIONS})]), {maxLength: MAX_SERVICES})]), {maxLength: 1}),
	createListSchema(z.tuple([z.string(), z.number(), z.number(), z.number()])),
	createListSchema(z.tuple([z.string(), z.number().int(), z.number().int(), z.number().positive(), z.number().nonnegative()])),
	createListSchema(z.tuple([z.string(), z.number().nonnegative()])),
]);

/** See {@link formatPeerReport}. */
export type PeerReportTuple = z.infer<typeof peerReportTupleSchema>;

/**
 * Formats a report as a tuple.
 *
 * @returns entry, process, zone, sequence, wall clock time, work, uses, leaving targets, limits, crashes, poison parts (crashes, cleared parts, quarantines), streams, software versions, era of the store, sealed usage, usage, versions that the store keeps, allotments, speeds of targets, KV cache held
 */
export function formatPeerReport(report: PeerReport): PeerReportTuple {
	return [
		report.entryId,
		report.processId,
		report.availabilityZone,
		report.sequence,
		report.wallMs,
		report.work.map(work => [...work]),
		report.prefixUses.map(use => [...use]),
		report.leaving.map(([targetId, startedAtMs]) => [targetId, startedAtMs]),
		report.limits.map(limit => [...limit]),
		report.crashes.map(([fingerprint, targetId]) => [fingerprint, targetId]),
		[
			report.poisonParts.crashes.map(([incarnation, partIds]) => [incarnation, [...partIds]]),
			[...report.poisonParts.cleared],
			report.poisonParts.quarantines.map(([partIds, ageMs, durationMs]) => [[...partIds], ageMs, durationMs]),
		],
		report.streams.map(([softwareVersion, keys]) => [softwareVersion, [...keys]]),
		report.serviceVersions.map(([historyMs, staleMs, versions]) => [historyMs, staleMs, versions.map(version => [...version])]),
		report.storeEra,
		report.sealed.map(([windowId, counts]) => [windowId, {...counts}]),
		report.usage.map(([windowId, counts]) => [windowId, {...counts}]),
		report.versionHistory.map(([storeVersion, isCertain, services]) => [storeVersion, isCertain, services.map(([serviceId, versions]) => [serviceId, [...versions]])]),
		report.allotments.map(item => [...item]),
		report.speeds.map(speed => [...speed]),
		report.heldTokens.map(([targetId, tokens]) => [targetId, tokens]),
	];
}

/**
 * Parses an array of reports in the form of {@link formatPeerReport}.
 *
 * @returns the reports, or undefined if any of them is malformed
 */
export function parsePeerReports(parameters: unknown): readonly PeerReport[] | undefined {
	const parsed = createListSchema(peerReportTupleSchema).safeParse(parameters);
	return parsed.success
		? parsed.data.map(([entryId, processId, availabilityZone, sequence, wallMs, work, prefixUses, leaving, limits, crashes, [partCrashes, cleared, quarantines], streams, serviceVersions, storeEra, sealed, usage, versionHistory, allotments, speeds, heldTokens]) => ({
			entryId, processId, availabilityZone, sequence, wallMs, work, prefixUses, leaving, limits, crashes, poisonParts: {crashes: partCrashes, cleared, quarantines}, streams, serviceVersions, storeEra, sealed, usage, versionHistory, allotments, speeds, heldTokens,
		}))
		: undefined;
}
