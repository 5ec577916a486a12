/** Identifies one process of a host; written `<host key>.<incarnation>`. */
export type ProcessId = {host: string; incarnation: string};

export function parseProcessId(id: string): ProcessId {
	const at = id.lastIndexOf('.');
	return {host: id.slice(0, at), incarnation: id.slice(at + 1)};
}
