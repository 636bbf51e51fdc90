/** Which requests that run when a version comes into force are touched by a change. */
export const TOUCHED_REQUESTS = {
	none: 'none',
	resumedStreams: 'resumed_streams',
	nextAttempts: 'next_attempts',
	openConnections: 'open_connections',
} as const;

/** One of {@link TOUCHED_REQUESTS}. */
export type TouchedRequests = typeof TOUCHED_REQUESTS[keyof typeof TOUCHED_REQUESTS];

/**
 * Description of each kind. A request keeps the route, deadline and customer that it had on its arrival; an entry looks
 * up the service and the allotment again for each attempt.
 */
export const TOUCHED_DESCRIPTIONS: Readonly<Record<TouchedRequests, string>> = {
	none: 'no running request: all go on as they began',
	resumed_streams: 'running streams, once their callers take them up again: that is a new request',
	next_attempts: 'running requests, from their next attempt on',
	open_connections: 'connections that are open, at once; a body that is being read keeps its limit',
};
