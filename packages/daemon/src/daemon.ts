/** A running role of the daemon. */
export type Daemon = {
	/** Addresses by name, with the ports that were taken. */
	readonly addresses: Readonly<Record<string, string>>;
	/** Takes no new work, lets streams finish, and ends. */
	readonly stop: () => Promise<void>;
};
