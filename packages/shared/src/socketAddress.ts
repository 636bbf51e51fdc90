import {isIPv4} from 'node:net';

const MAX_PORT = 65_535;
/** Stands for any address of an instance, so it names none. */
const UNSPECIFIED_IP = '0.0.0.0';
const ENDPOINT = /^(?<ip>[\d.]+):(?<port>[1-9]\d{0,4})$/v;

/** Tells whether a text is an IPv4 address that a connection can be opened to. */
export function isUsableIp(text: string): boolean {
	return isIPv4(text) && text !== UNSPECIFIED_IP;
}

/** Tells whether a number is a port that a connection can be opened to. */
export function isPort(value: number): boolean {
	return Number.isInteger(value) && value > 0 && value <= MAX_PORT;
}

/** Tells whether a text is a usable `ip:port`. */
export function isSocketAddress(text: string): boolean {
	const {ip = '', port = ''} = ENDPOINT.exec(text)?.groups ?? {};
	return isUsableIp(ip) && isPort(Number(port));
}
