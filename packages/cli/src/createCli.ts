import {Builtins, Cli} from 'clipanion';
import {BurnReportCommand} from './commands/BurnReportCommand.js';
import {ChangeCommand} from './commands/ChangeCommand.js';
import {CompletionCommand} from './commands/CompletionCommand.js';
import {ConfigCheckCommand} from './commands/ConfigCheckCommand.js';
import {ExplainCommand} from './commands/ExplainCommand.js';
import {QueryCommand} from './commands/QueryCommand.js';
import {UsageReportCommand} from './commands/UsageReportCommand.js';

const COMMANDS = [
	ConfigCheckCommand,
	QueryCommand,
	ChangeCommand,
	ExplainCommand,
	UsageReportCommand,
	BurnReportCommand,
	CompletionCommand,
	Builtins.HelpCommand,
	Builtins.VersionCommand,
] as const;

/** Creates the command-line interface and registers all commands. */
export function createCli(): Cli {
	const cli = new Cli({binaryLabel: 'damaskspool', binaryName: 'damaskspool', binaryVersion: '0.1.0'});
	for (const command of COMMANDS) {
		cli.register(command);
	}

	return cli;
}
