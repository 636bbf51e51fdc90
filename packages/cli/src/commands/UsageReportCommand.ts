import {Command} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Reports sealed usage or its cost. */
export class UsageReportCommand extends OperatorCommand {
	static override paths = [['report', 'usage'], ['report', 'cost']];
	static override usage = Command.Usage({
		category: 'Reports',
		description: 'Sealed usage of each customer and service, or the cost of the target time that it took.',
		examples: [['Print the usage as CSV', 'damaskspool report usage --format csv'], ['Print the cost', 'damaskspool report cost']],
	});

	override async execute(): Promise<number> {
		if (!this.checkEntryAddress()) {
			return EXIT_CODES.invalid;
		}

		return this.path[1] === 'usage'
			? this.runQuery({
				source: 'usage', groupBy: ['customer', 'service'], orderBy: [{column: 'customer', isDescending: false}],
			})
			: this.runQuery({source: 'cost', groupBy: [], orderBy: [{column: 'cost', isDescending: true}]});
	}
}
