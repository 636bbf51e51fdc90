import {createSilentConnection, type SilentConnection} from './createSilentConnection.js';

/**
 * Silent connections to targets that have announced that they stop and still have requests. A target that stops listening
 * accepts none later. The loss of a connection is no sign, since a target may close it when it stops listening.
 */
export type LeaveWitnesses = {
	/**
	 * Records a request to a target. Opens a connection if the target has announced that it stops.
	 *
	 * @param address - `ip:port`
	 */
	readonly add: (address: string, isLeaving: () => boolean) => LeaveWitness;
	/** Opens connections to the targets that have announced that they stop. */
	readonly holdLeaving: () => void;
	/** Closes all connections. */
	readonly close: () => void;
};

/** A request to a target that may announce that it stops. */
export type LeaveWitness = {
	/** The connection to the target; undefined if none was opened. */
	readonly getConnection: () => SilentConnection | undefined;
	/** Ends the request. The last one of a target closes the connection. */
	readonly release: () => void;
};

type LeavingTarget = {
	/** Requests, with whether the target of each has announced that it stops. Several incarnations may share an address. */
	readonly requests: Set<{readonly isLeaving: () => boolean}>;
	connection: SilentConnection | undefined;
};

/** Creates an empty set of connections to leaving targets. */
export function createLeaveWitnesses(): LeaveWitnesses {
	const targets = new Map<string, LeavingTarget>();

	const hold = (address: string, target: LeavingTarget) => {
		target.connection ??= createSilentConnection({
			address, onLost() {
				// A target that has stopped listening would refuse another one.
			},
		});
	};

	return {
		add(address, isLeaving) {
			const target = targets.get(address) ?? {requests: new Set(), connection: undefined};
			const request = {isLeaving};
			targets.set(address, target);
			target.requests.add(request);
			if (isLeaving()) {
				hold(address, target);
			}

			return {
				getConnection: () => target.connection,
				release() {
					target.requests.delete(request);
					if (target.requests.size === 0 && targets.get(address) === target) {
						targets.delete(address);
						target.connection?.destroy();
					}
				},
			};
		},
		holdLeaving() {
			for (const [address, target] of targets) {
				if (target.connection === undefined && [...target.requests].some(({isLeaving}) => isLeaving())) {
					hold(address, target);
				}
			}
		},
		close() {
			for (const {connection} of targets.values()) {
				connection?.destroy();
			}
		},
	};
}
