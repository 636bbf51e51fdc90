/** Names of the routing policies, as used in settings. The first is the default; the others exist for comparison with it. */
export const ROUTING_POLICY_NAMES = ['expectedTime', 'noAffinity', 'noAgeDiscount', 'roundRobin', 'leastOutstanding', 'fixedSplit'] as const;

/** Name of a routing policy. */
export type RoutingPolicyName = typeof ROUTING_POLICY_NAMES[number];
