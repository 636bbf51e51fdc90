#!/usr/bin/env node
/** Program `damaskspoold`: reads its settings and runs one role until it receives SIGTERM or SIGINT. */
import process from 'node:process';
import {createLogger, formatProblem, readSettings} from '@damaskspool/runtime';
import {
	Builtins, Cli, Command, Option,
} from 'clipanion';
import {type Daemon} from './daemon.js';
import {type EntrySettings, settingsSchema, type SidecarSettings} from './settings.js';

/** Exit code for invalid settings. */
const EXIT_SETTINGS_INVALID = 2;

/** Functions that start a role, by role name. A process loads only the modules of its own role. */
const ROLES = {
	async entry(settings: EntrySettings, logger: ReturnType<typeof createLogger>): Promise<Daemon> {
		const {createEntry} = await import('./entry/createEntry.js');
		return createEntry({settings, logger});
	},
	async sidecar(settings: SidecarSettings, logger: ReturnType<typeof createLogger>): Promise<Daemon> {
		const {createSidecar} = await import('./sidecar/createSidecar.js');
		return createSidecar({settings, logger});
	},
} as const;

class RunCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Runs one role of damaskspool until SIGTERM or SIGINT.',
		examples: [['Run an entry', 'damaskspoold --settings entry.jsonc']],
	});

	settingsFile = Option.String('--settings', {required: true, description: 'settings file, JSON with comments'});

	override async execute(): Promise<number> {
		const parsed = await readSettings(this.settingsFile, settingsSchema);
		if (parsed.err) {
			for (const problem of parsed.val) {
				this.context.stderr.write(`${formatProblem(problem)}\n`);
			}

			return EXIT_SETTINGS_INVALID;
		}

		const settings = parsed.val;
		const logger = createLogger({program: 'damaskspoold', instanceId: settings.instanceId, level: settings.logLevel});
		const signal = new Promise<string>(resolve => {
			process.once('SIGTERM', resolve);
			process.once('SIGINT', resolve);
		});
		const daemon = await (settings.role === 'entry' ? ROLES.entry(settings, logger) : ROLES.sidecar(settings, logger));
		logger.info('started', {role: settings.role, addresses: daemon.addresses});
		logger.info('stopping', {signal: await signal});
		await daemon.stop();
		logger.info('stopped');
		return 0;
	}
}

const cli = new Cli({binaryLabel: 'damaskspoold', binaryName: 'damaskspoold', binaryVersion: '0.1.0'});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exit(await cli.run(process.argv.slice(2)));
