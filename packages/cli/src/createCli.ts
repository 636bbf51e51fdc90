import {Builtins, Cli} from 'clipanion';
import {ConfigCheckCommand} from './commands/ConfigCheckCommand.js';
import {QueryCommand} from './commands/QueryCommand.js';

/** Exit codes of the command line. */
export const EXIT_CODES = {
	ok: 0,
	/** The system or a process of it did not do what was asked. */
	failed: 1,
	/** What was asked is not valid. */
	invalid: 2,
} as const;

/**
 * Creates the command line with all its commands.
 *
 * @returns the command line
 */
export function createCli(): Cli {
	const cli = new Cli({binaryLabel: 'damaskspool', binaryName: 'damaskspool', binaryVersion: '0.1.0'});
	cli.register(ConfigCheckCommand);
	cli.register(QueryCommand);
	cli.register(Builtins.HelpCommand);
	cli.register(Builtins.VersionCommand);
	return cli;
}
