import {settingsSchema} from '@damaskspool/daemon';
import {formatProblem, readSettings} from '@damaskspool/runtime';
import {configurationDocumentSchema} from '@damaskspool/shared';
import {Command, Option} from 'clipanion';

/** Validates a settings file of the daemon or a configuration document. */
export class ConfigCheckCommand extends Command {
	static override paths = [['config', 'check']];
	static override usage = Command.Usage({
		category: 'Settings',
		description: 'Validates a settings file, and prints file, line and column of each problem.',
		examples: [
			['Validate the settings of an entry', 'damaskspool config check examples/idranti/entry.jsonc'],
			['Validate a configuration document', 'damaskspool config check --document examples/idranti/configuration.jsonc'],
		],
	});

	file = Option.String();
	isDocument = Option.Boolean('--document', false, {description: 'the file is a configuration document, not the settings of a process'});

	override async execute(): Promise<number> {
		const checked = await readSettings(this.file, this.isDocument ? configurationDocumentSchema : settingsSchema);
		if (checked.ok) {
			this.context.stdout.write(`${this.file}: valid\n`);
			return 0;
		}

		for (const problem of checked.val) {
			this.context.stderr.write(`${formatProblem(problem)}\n`);
		}

		return 2;
	}
}
