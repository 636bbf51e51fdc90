import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A daemon that runs in its own process. */
export type DaemonProcess = {
	readonly instanceId: string;
	readonly child: ChildProcess;
	/** Addresses on which the daemon listens, by name. */
	readonly addresses: Readonly<Record<string, string>>;
	/** The last log lines, up to {@link MAX_LOG_LINES}. */
	readonly logLines: readonly string[];
	/** Sends SIGTERM if the process still runs, and resolves with its exit code, or null if a signal ended it. */
	readonly stop: () => Promise<number | null>;
	readonly signal: (signal: NodeJS.Signals) => void;
};

const MAX_LOG_LINES = 5000;
const DAEMON_FILE = path.join(path.dirname(createRequire(import.meta.url).resolve('@damaskspool/daemon')), 'bin.js');

/**
 * Starts `damaskspoold` and waits until it listens. Rejects with the log lines if
 * the process exits before that.
 *
 * @param settings - content of the settings file
 */
export async function startDaemonProcess(settings: Readonly<Record<string, unknown>>): Promise<DaemonProcess> {
	const directory = await mkdtemp(path.join(tmpdir(), 'damaskspool-'));
	const file = path.join(directory, 'settings.jsonc');
	await writeFile(file, JSON.stringify(settings));
	const child = spawn(process.execPath, [DAEMON_FILE, '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
	const logLines: string[] = [];
	const recordLine = (line: string) => {
		logLines.push(line);
		if (logLines.length > MAX_LOG_LINES) {
			logLines.shift();
		}
	};

	const exited = once(child, 'exit') as Promise<[number | null]>;
	const started = new Promise<Readonly<Record<string, string>>>(resolve => {
		createInterface(child.stdout).on('line', line => {
			recordLine(line);
			const addresses = parseAddresses(line);
			if (addresses !== undefined) {
				resolve(addresses);
			}
		});
	});
	createInterface(child.stderr).on('line', recordLine);
	const addresses = await Promise.race([started, exited.then(([code]) => {
		throw new Error(`damaskspoold exited with code ${code} before it listened:\n${logLines.join('\n')}`);
	})]);
	await rm(directory, {recursive: true});

	const signal = (name: NodeJS.Signals) => {
		child.kill(name);
	};

	return {
		instanceId: String(settings.instanceId),
		child,
		addresses,
		logLines,
		signal,
		async stop() {
			if (child.exitCode === null && child.signalCode === null) {
				signal('SIGTERM');
				await exited;
			}

			return child.exitCode;
		},
	};
}

function parseAddresses(line: string): Readonly<Record<string, string>> | undefined {
	if (!line.includes('"message":"started"')) {
		return undefined;
	}

	const parsed = JSON.parse(line) as {context: {addresses: Record<string, string>}};
	return parsed.context.addresses;
}
