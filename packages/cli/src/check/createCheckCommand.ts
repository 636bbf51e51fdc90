import process from 'node:process';
import {type ConfigurationCheckPorts} from '@damaskspool/runtime';
import {Command, type CommandClass, Option} from 'clipanion';
import {CHECK_EXIT_CODES, createCheckReport} from './checkReport.js';
import {formatCheckReport} from './formatCheckReport.js';

const ADDRESS = /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v;

/** Creates the command `check` for a platform: it checks the configuration of entries that send to targets directly. */
export function createCheckCommand(ports: ConfigurationCheckPorts): CommandClass {
	return class CheckCommand extends Command {
		static override paths = [['check']];
		static override usage = Command.Usage({
			category: 'Settings',
			description: 'Checks a configuration before it is sent, and compares it with the version in force.',
			details: `
				The exit code is 0 if nothing was found, 1 if something was, and 2 if a file cannot be read or is not JSON.
				Differences from the version in force are no findings, unless entries would drop the file for its version.
				Without a store the file is checked alone. No key is printed.
			`,
			examples: [
				['Compare with the version that the store holds', 'damaskspool check configuration.json --store 10.200.1.7:8408'],
				['Compare with another file', 'damaskspool check configuration.json --against before.json'],
			],
		});

		file = Option.String();
		againstFile = Option.String('--against', {description: 'file that stands for the version in force'});
		storeAddress = Option.String('--store', {
			description: 'store to read the version in force from, ip:port; default: the one in the settings file of an entry, if the environment names one',
		});

		isJson = Option.Boolean('--json', false, {description: 'print JSON'});

		override async execute(): Promise<number> {
			if (this.storeAddress !== undefined && !ADDRESS.test(this.storeAddress)) {
				this.context.stdout.write(`--store: expected ip:port, found ${JSON.stringify(this.storeAddress)}\n`);
				return CHECK_EXIT_CODES.unreadable;
			}

			try {
				const report = await createCheckReport({
					file: this.file, ports, againstFile: this.againstFile, storeAddress: this.storeAddress,
				});
				const isColoured = (this.context.stdout as NodeJS.WriteStream).isTTY && process.env.NO_COLOR === undefined;
				this.context.stdout.write(this.isJson ? `${JSON.stringify(report)}\n` : formatCheckReport(report, isColoured));
				return report.exitCode;
			} catch (error) {
				const {name, stack = ''} = error as Error;
				// The message of an error that no code expected may quote the file, and with it keys.
				const frames = stack.split('\n').filter(line => line.trim().startsWith('at '));
				this.context.stdout.write(`unexpected ${name}\n${frames.join('\n')}\n`);
				return CHECK_EXIT_CODES.unreadable;
			}
		}
	};
}
