/** Codes of what the check of a configuration can find. */
export const FINDING_CODES = {
	fileUnreadable: 'file_unreadable',
	textInvalid: 'text_invalid',
	contentInvalid: 'content_invalid',
	memberRepeated: 'member_repeated',
	versionNotNewer: 'version_not_newer',
	routeHidden: 'route_hidden',
	routeNameRepeated: 'route_name_repeated',
	hostUnmatched: 'host_unmatched',
	prefixUnmatched: 'prefix_unmatched',
	routeWithoutService: 'route_without_service',
	routeWithoutKeys: 'route_without_keys',
	routeServiceUnused: 'route_service_unused',
	shareUnused: 'share_unused',
	serviceUnknown: 'service_unknown',
	serviceUnused: 'service_unused',
	serviceRepeated: 'service_repeated',
	customerRepeated: 'customer_repeated',
	customerUnnamed: 'customer_unnamed',
	customerWithoutKey: 'customer_without_key',
	keyRepeated: 'key_repeated',
	keyUnmatched: 'key_unmatched',
	limitNotPositive: 'limit_not_positive',
	timeoutUnderObjective: 'timeout_under_objective',
	pauseOverTimeout: 'pause_over_timeout',
	pauseUnused: 'pause_unused',
	resumptionUnsafe: 'resumption_unsafe',
	attemptsOverTargets: 'attempts_over_targets',
	burstUnderRequest: 'burst_under_request',
	burstUnused: 'burst_unused',
} as const;

/** One of {@link FINDING_CODES}. */
export type FindingCode = typeof FINDING_CODES[keyof typeof FINDING_CODES];

/** Severities of findings. */
export const SEVERITIES = {
	/** An entry does not take the configuration over. */
	error: 'error',
	/** An entry takes the configuration over, and it contains something that has no effect or contradicts itself. */
	finding: 'finding',
} as const;

/** One of {@link SEVERITIES}. */
export type Severity = typeof SEVERITIES[keyof typeof SEVERITIES];

type FindingDescription = {readonly severity: Severity; readonly message: string};

const {error, finding} = SEVERITIES;

/** Severity and message of each code. */
export const FINDING_DESCRIPTIONS: Readonly<Record<FindingCode, FindingDescription>> = {
	file_unreadable: {severity: error, message: 'the file cannot be read'},
	text_invalid: {severity: error, message: 'the text is not JSON'},
	content_invalid: {severity: error, message: 'entries refuse the configuration'},
	member_repeated: {severity: finding, message: 'the object has a later member of the same name, which replaces this one'},
	version_not_newer: {severity: error, message: 'entries drop a version that is not above the one in force'},
	route_hidden: {severity: finding, message: 'an earlier route has the same host and prefix, so no request matches this one'},
	route_name_repeated: {severity: finding, message: 'an earlier route has the same name, so their logs and learned deadlines are mixed'},
	host_unmatched: {severity: finding, message: 'no request has this host: it is empty, or has a port, a slash or a space'},
	prefix_unmatched: {severity: finding, message: 'the prefix does not begin and end with a slash'},
	route_without_service: {severity: finding, message: 'no service has a weight above zero, so every request is refused'},
	route_without_keys: {severity: finding, message: 'the route needs a key, and no customer has one, so every request is refused'},
	route_service_unused: {severity: finding, message: 'the service beside the shares gets no request'},
	share_unused: {severity: finding, message: 'a share with no weight above zero gets no request'},
	service_unknown: {severity: finding, message: 'the service is not among the services, so its limits and engine are not known'},
	service_unused: {severity: finding, message: 'no route sends requests to the service'},
	service_repeated: {severity: finding, message: 'a later service has the same name and replaces this one'},
	customer_repeated: {severity: finding, message: 'an earlier customer has the same name: their requests count together, and one limit holds for both'},
	customer_unnamed: {severity: finding, message: 'the name of the customer is empty'},
	customer_without_key: {severity: finding, message: 'no request belongs to a customer without a key'},
	key_repeated: {severity: finding, message: 'the key is listed again later, and its requests belong to the customer listed last'},
	key_unmatched: {severity: finding, message: 'no proper request can carry the key: it is empty, or has a space or a character beyond ASCII'},
	limit_not_positive: {severity: finding, message: 'the limit is below one, so it lets nothing through'},
	timeout_under_objective: {severity: finding, message: 'the timeout ends requests before their latency objective'},
	pause_over_timeout: {severity: finding, message: 'the longest pause of the stream is not below the timeout of the route'},
	pause_unused: {severity: finding, message: 'only streams have a longest pause between events'},
	resumption_unsafe: {severity: finding, message: 'only streams can be taken up; requests of this route would be repeated although they may run only once'},
	attempts_over_targets: {severity: finding, message: 'the route allows more attempts than its services have targets'},
	burst_under_request: {severity: finding, message: 'the burst is less than one request counts'},
	burst_unused: {severity: finding, message: 'a burst without a rate sets no limit'},
};
