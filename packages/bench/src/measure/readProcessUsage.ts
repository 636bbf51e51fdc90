import {readFile} from 'node:fs/promises';

/** What a process has used. */
export type ProcessUsage = {
	/** Processor time of all its threads, in user and kernel mode. */
	readonly cpuMs: number;
	readonly residentBytes: number;
};

/** Kernel clock ticks are a hundredth of a second on every Linux that Node.js supports. */
const TICK_MS = 10;
const KIB_BYTES = 1024;
/** Fields of /proc/PID/stat after the command name, counted from zero. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/**
 * Reads what a process has used so far.
 *
 * @param pid - process identifier
 * @returns processor time since its start, and resident memory now
 */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const residentKib = Number(/^VmRSS:\s+(?<kib>\d+)/mv.exec(status)?.groups?.kib ?? 0);
	return {
		cpuMs: (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * TICK_MS,
		residentBytes: residentKib * KIB_BYTES,
	};
}
