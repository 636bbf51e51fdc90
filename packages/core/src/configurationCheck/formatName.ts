/** Formats a name of a configuration for a message. */
export function formatName(name: string): string {
	return JSON.stringify(name);
}
