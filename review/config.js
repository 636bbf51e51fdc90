/** A config like that of the small site: one model service, one plain service, the routes of their kinds of requests. */
export const HOST_NAME = 'gavel.example';
export const KEY = '2b9wu3fexd9dnn2ctnfz';

const common = {
	Host: HOST_NAME, Priority: 2, MaxAttempts: 2, AllowAnonymous: false,
};

/** Builds the content of `config/main`. */
export function createConfig({version = 11, overrides = {}} = {}) {
	return {
		Version: version,
		Routes: [
			{
				...common, Name: 'layout-draft', PathPrefix: '/layout/', Kind: 'stream', Service: 'gavel-lm', TimeoutMs: 10_000, TargetLatencyMs: 400, TargetGapMs: 200, Resumable: true, Sticky: true, ...overrides.stream,
			},
			{
				...common, Name: 'slot-book', PathPrefix: '/book/', Kind: 'unsafe', Service: 'gavel-app', TimeoutMs: 2500, TargetLatencyMs: 193, ...overrides.unsafe,
			},
			{
				...common, Name: 'plan-read', PathPrefix: '/plan/', Kind: 'safe', Service: 'gavel-app', TimeoutMs: 2500, TargetLatencyMs: 193, ...overrides.safe,
			},
		],
		Services: [
			{
				Name: 'gavel-lm', MaxConns: 490, HealthPath: '/health', Engine: {
					KvCapacityTokens: 924_894, TokenKvBytes: 18_432, LinkMbps: 370_000, SwitchS: 3,
				},
			},
			{Name: 'gavel-app', MaxConns: 100, HealthPath: '/health'},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'huka270', ApiKeys: [KEY]}],
	};
}
