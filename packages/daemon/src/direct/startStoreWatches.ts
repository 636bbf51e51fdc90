import {
	READ_FAILURES, type ReadFailure, type ServingEvent, type TargetRecord,
} from '@damaskspool/core';
import {
	type DeploymentPorts, type Logger, type MetadataObject, type Metrics, type UntimedEvent,
} from '@damaskspool/runtime';
import {
	ERROR_CODES, type ErrorCode, type Failure, type Result,
} from '@damaskspool/shared';
import {createMalformedLog} from './createMalformedLog.js';
import {watchObjects} from './watchObjects.js';

/** Options of {@link startStoreWatches}. */
export type StoreWatchOptions = {
	readonly ports: DeploymentPorts;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly dispatch: (event: UntimedEvent<ServingEvent>) => void;
	readonly isStopped: () => boolean;
};

/** What the failure of a watch tells of the store. Any other failure counts as an outage. */
const READ_FAILURES_BY_CODE: Readonly<Partial<Record<ErrorCode, ReadFailure>>> = {
	[ERROR_CODES.watchCut]: READ_FAILURES.watchCut,
	[ERROR_CODES.connectionLost]: READ_FAILURES.connectionLost,
};

/**
 * Watches the configuration and the targets in the store and dispatches their changes.
 * For each of the two, logs the start and the end of each store outage once.
 */
export function startStoreWatches({ports, logger, metrics, dispatch, isStopped}: StoreWatchOptions): void {
	const unavailableKinds = new Set<string>();

	const createFailureHandler = (kind: string) => (failure: Failure) => {
		// A planned stop closes the connections to the store.
		if (isStopped()) {
			return;
		}

		metrics.count('store_failures');
		if (kind === ports.objects.targets) {
			dispatch({type: 'targets.readFailed', failure: READ_FAILURES_BY_CODE[failure.code] ?? READ_FAILURES.unavailable});
		}

		if (!unavailableKinds.has(kind)) {
			unavailableKinds.add(kind);
			logger.warn('store.lost', {kind, detail: failure.message});
		}
	};

	const recordRecovery = (kind: string, version: number) => {
		if (unavailableKinds.delete(kind)) {
			logger.info('store.regained', {kind, version});
		}
	};

	const malformedTargets = createMalformedLog({
		write(context) {
			logger.warn('target.malformed', context);
		},
	});
	const malformedConfigurations = createMalformedLog({
		write(context) {
			logger.error('configuration.malformed', context);
		},
	});

	const groupTargets = (objects: ReadonlyArray<MetadataObject<Result<TargetRecord, Failure>>>) => {
		// A page of a watch may tell of several changes of one target, of which the last one holds.
		const latest = new Map(objects.map(object => [object.name, object]));
		const removed: string[] = [];
		for (const {name, value} of latest.values()) {
			if (value === undefined || value.ok) {
				malformedTargets.clear(name);
			} else {
				metrics.count('targets_malformed');
				malformedTargets.record({name, detail: value.val.message});
			}

			if (value?.ok !== true) {
				removed.push(name);
			}
		}

		// Earlier changes may tell that a target leaves, so they are applied in their order.
		const targets = objects.flatMap(({name, value}) => value?.ok === true && latest.get(name)?.value?.ok === true ? [value.val] : []);
		return {targets, removed};
	};

	const {configuration, targets} = ports.objects;
	void watchObjects({
		store: ports.store,
		kind: targets,
		parseValue: ports.parseTarget,
		isStopped,
		onFailure: createFailureHandler(targets),
		onPage({objects, version, isLate = false}, isComplete) {
			recordRecovery(targets, version);
			dispatch({
				type: 'targets.changed', isComplete, isLate, ...groupTargets(objects),
			});
		},
		onUnchanged() {
			dispatch({type: 'targets.confirmed'});
		},
	});
	void watchObjects({
		store: ports.store,
		kind: configuration.kind,
		parseValue: (name, value) => name === configuration.name ? ports.parseConfiguration(value) : undefined,
		isStopped,
		onFailure: createFailureHandler(configuration.kind),
		onPage({objects, version}) {
			recordRecovery(configuration.kind, version);
			for (const {name, value: parsed} of objects) {
				if (parsed === undefined) {
					continue;
				}

				if (parsed.ok) {
					malformedConfigurations.clear(name);
					dispatch({type: 'configuration.changed', configuration: parsed.val});
				} else {
					metrics.count('configurations_malformed');
					malformedConfigurations.record({name, detail: parsed.val.message, version});
				}
			}
		},
	});
}
