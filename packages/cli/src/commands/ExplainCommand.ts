import {Command, Option} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Lists the recorded decisions about a request or a target. */
export class ExplainCommand extends OperatorCommand {
	static override paths = [['explain', 'request'], ['explain', 'target']];
	static override usage = Command.Usage({
		category: 'Operation',
		description: 'Lists the decisions about a request or a target that the entries still have in memory.',
		examples: [['A request', 'damaskspool explain request 1f0c8a3e-5f3b-4a39-9f5e-6f1f3c2f9a11']],
	});

	id = Option.String();

	override async execute(): Promise<number> {
		if (!this.checkEntryAddress()) {
			return EXIT_CODES.invalid;
		}

		const isSubject = {
			type: 'compare', column: 'subject', comparison: '=', value: this.id,
		} as const;
		const isInDetail = {
			type: 'compare', column: 'detail', comparison: '~', value: `"${this.id}"`,
		} as const;
		return this.runQuery({
			source: 'events',
			where: this.path[1] === 'target' ? {type: 'or', left: isSubject, right: isInDetail} : isSubject,
			groupBy: [],
			orderBy: [{column: 'at', isDescending: false}],
		});
	}
}
