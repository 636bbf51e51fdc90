/** Names of the routing policies, for settings; the first is the one in use, the others are there to be compared with it. */
export const ROUTING_POLICY_NAMES = ['expectedTime', 'noAffinity', 'noAgeDiscount', 'roundRobin', 'leastOutstanding', 'fixedSplit'] as const;

/** Name of a policy. */
export type RoutingPolicyName = typeof ROUTING_POLICY_NAMES[number];
