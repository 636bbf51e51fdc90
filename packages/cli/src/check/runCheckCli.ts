import process from 'node:process';
import {type Writable} from 'node:stream';
import {type ConfigurationCheckPorts} from '@damaskspool/runtime';
import {Builtins, Cli, type Command} from 'clipanion';
import {CHECK_EXIT_CODES} from './checkReport.js';
import {createCheckCommand} from './createCheckCommand.js';

/** Options of {@link runCheckCli}. */
export type CheckCliOptions = {
	readonly ports: ConfigurationCheckPorts;
	/** Arguments after the name of the program. */
	readonly args: readonly string[];
	/** Standard output by default. */
	readonly output?: Writable;
};

/**
 * Runs the command line for direct entries. They answer no queries of operators, so it has the check alone.
 *
 * @returns the exit code; `unreadable` also for arguments that are not valid
 */
export async function runCheckCli({ports, args, output = process.stdout}: CheckCliOptions): Promise<number> {
	const cli = new Cli({binaryLabel: 'damaskspool', binaryName: 'damaskspool', binaryVersion: '0.1.0'});
	for (const command of [createCheckCommand(ports), Builtins.HelpCommand, Builtins.VersionCommand]) {
		cli.register(command);
	}

	let command: Command;
	try {
		command = cli.process([...args], {stdout: output});
	} catch (error) {
		output.write(cli.error(error));
		return CHECK_EXIT_CODES.unreadable;
	}

	return cli.run(command, {stdout: output});
}
