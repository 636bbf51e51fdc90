import {readFile} from 'node:fs/promises';

/** Resource usage of a process. */
export type ProcessUsage = {
	/** CPU time of all threads, in user and kernel mode, since the start of the process. */
	readonly cpuMs: number;
	/** Current resident memory. */
	readonly residentBytes: number;
};

/** A kernel clock tick is a hundredth of a second on every Linux that Node.js supports. */
const TICK_MS = 10;
const KIB_BYTES = 1024;
/** Zero-based indices of fields in /proc/PID/stat, counted after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Reads the resource usage of a process from /proc. */
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
