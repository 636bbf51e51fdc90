import {
	findBurstsUnderRequest, findCustomersWithoutKey, findRepeatedCustomers, findRepeatedKeys, findUnmatchedKeys, findUnnamedCustomers, findUnusedBursts,
} from './customerChecks.js';
import {type ConfigurationPath} from './configurationDraft.js';
import {compareConfigurations} from './compareConfigurations.js';
import {type CheckContext, type Finder, type FoundPlace} from './finder.js';
import {
	type FINDING_CODES, FINDING_DESCRIPTIONS, type FindingCode, type Severity,
} from './findingCodes.js';
import {
	findAttemptsOverTargets, findHiddenRoutes, findPausesOverTimeout, findRepeatedRouteNames, findRoutesWithoutKeys, findRoutesWithoutService,
	findTimeoutsUnderObjective, findUnknownServices, findUnmatchedHosts, findUnmatchedPrefixes, findUnsafeResumptions, findUnusedPauses,
	findUnusedRouteServices, findUnusedShares,
} from './routeChecks.js';
import {findLimitsNotPositive, findRepeatedServices, findUnusedServices} from './serviceChecks.js';

/** Something that the check of a configuration found. */
export type ConfigurationFinding = {
	readonly code: FindingCode;
	readonly severity: Severity;
	readonly message: string;
	readonly path: ConfigurationPath;
	/** What it is about, with the names of the file. Never contains a key. */
	readonly detail: string;
};

/** Codes of findings in the text of a file. They are found before there is a draft. */
type TextFindingCode = typeof FINDING_CODES['fileUnreadable' | 'textInvalid' | 'contentInvalid' | 'memberRepeated'];

/** Check of each finding in a draft. */
const FINDERS: Readonly<Record<Exclude<FindingCode, TextFindingCode>, Finder>> = {
	version_not_newer: findVersionNotNewer,
	route_hidden: findHiddenRoutes,
	route_name_repeated: findRepeatedRouteNames,
	host_unmatched: findUnmatchedHosts,
	prefix_unmatched: findUnmatchedPrefixes,
	route_without_service: findRoutesWithoutService,
	route_without_keys: findRoutesWithoutKeys,
	route_service_unused: findUnusedRouteServices,
	share_unused: findUnusedShares,
	service_unknown: findUnknownServices,
	service_unused: findUnusedServices,
	service_repeated: findRepeatedServices,
	customer_repeated: findRepeatedCustomers,
	customer_unnamed: findUnnamedCustomers,
	customer_without_key: findCustomersWithoutKey,
	key_repeated: findRepeatedKeys,
	key_unmatched: findUnmatchedKeys,
	limit_not_positive: findLimitsNotPositive,
	timeout_under_objective: findTimeoutsUnderObjective,
	pause_over_timeout: findPausesOverTimeout,
	pause_unused: findUnusedPauses,
	resumption_unsafe: findUnsafeResumptions,
	attempts_over_targets: findAttemptsOverTargets,
	burst_under_request: findBurstsUnderRequest,
	burst_unused: findUnusedBursts,
};

/**
 * Checks a draft that an entry's parser accepts. The time is proportional to its size.
 *
 * @returns findings, grouped by code in the order of the table
 */
export function checkConfiguration(context: CheckContext): readonly ConfigurationFinding[] {
	return Object.entries(FINDERS).flatMap(([code, find]) => find(context).map(({path, detail}) => createFinding(code as FindingCode, path, detail)));
}

function findVersionNotNewer({draft, inForce}: CheckContext): readonly FoundPlace[] {
	const {version} = draft.configuration;
	const versionInForce = inForce?.configuration.version ?? Number.NEGATIVE_INFINITY;
	// The version in force itself may be sent again.
	const isDropped = inForce !== undefined && (version < versionInForce || (version === versionInForce && compareConfigurations(inForce, draft).length > 0));
	return isDropped ? [{path: ['version'], detail: `version ${version}, in force ${versionInForce}`}] : [];
}

/** Creates a finding with the severity and message of its code. */
export function createFinding(code: FindingCode, path: ConfigurationPath, detail: string): ConfigurationFinding {
	return {
		code, ...FINDING_DESCRIPTIONS[code], path, detail,
	};
}
