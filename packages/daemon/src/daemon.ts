/** A running role of the daemon. */
export type Daemon = {
	/** Addresses by name, with the actual ports. */
	readonly addresses: Readonly<Record<string, string>>;
	/** Refuses new work, waits for streams to finish, and stops. */
	readonly stop: () => Promise<void>;
};
