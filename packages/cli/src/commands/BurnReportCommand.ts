import {writeFile} from 'node:fs/promises';
import {type BurnLine} from '@damaskspool/core';
import {type QueryRow} from '@damaskspool/shared';
import {Command, Option} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {type BurnReply, formatBurnPage} from '../output/formatBurnPage.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Reports how fast each service spends the error budgets of its service levels. */
export class BurnReportCommand extends OperatorCommand {
	static override paths = [['report', 'burn']];
	static override usage = Command.Usage({
		category: 'Reports',
		description: 'How fast each service spends its error budget over a fast and a slow window, which customers spend it, and why.',
		details: 'Customer * stands for all customers. At a burn of 1 the budget lasts exactly as long as its period; above 1 it is spent early.',
		examples: [['Print a table', 'damaskspool report burn'], ['Write an HTML page', 'damaskspool report burn --html burn.html']],
	});

	htmlFile = Option.String('--html', {description: 'write an HTML page with plots to this file'});

	override async execute(): Promise<number> {
		if (!this.checkEntryAddress()) {
			return EXIT_CODES.invalid;
		}

		const reply = await this.call('operator.burn', {});
		if (reply.err) {
			return this.writeFailure(reply.val);
		}

		const burn = reply.val as BurnReply;
		if (this.htmlFile === undefined) {
			this.writeRows(burn.lines.map(line => toRow(line)));
		} else {
			await writeFile(this.htmlFile, formatBurnPage(burn, new Date().toISOString()));
			this.context.stdout.write(`${this.htmlFile}\n`);
		}

		if (burn.missing.length > 0) {
			this.context.stderr.write(`incomplete result: no reply from ${burn.missing.join(', ')}\n`);
			return EXIT_CODES.partial;
		}

		return EXIT_CODES.ok;
	}
}

function toRow({service, customer, level, requests, bad, fastBurn, slowBurn, budgetLeft, share, why}: BurnLine): QueryRow {
	return {
		service, customer, level, requests, bad, fastBurn, slowBurn, budgetLeft, share, why,
	};
}
