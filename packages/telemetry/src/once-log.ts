/**
Logs what is wrong with a key of the store once, not at each read; again when the reason is another: the text
may change with each write of the same writer.
*/

/** Keys remembered; the oldest is forgotten first. */
const mostKeys = 1000;
/** Characters of a text that are logged. */
const shownLength = 200;

export type OnceLog = (
	message: string,
	key: string,
	what: {text: string; reason: string},
) => void;

/**
@example
const logOnce = createOnceLog(log);
logOnce('entry is not understood', 'servers/i-1', {text: '{', reason: 'not JSON'});
*/
export function createOnceLog(
	log: (message: string, fields: Record<string, unknown>) => void,
): OnceLog {
	const told = new Map<string, string>();
	return (message, key, {text, reason}) => {
		if (told.get(key) === reason) {
			return;
		}

		told.delete(key);
		told.set(key, reason);
		const [oldest] = told.keys();
		if (told.size > mostKeys && oldest !== undefined) {
			told.delete(oldest);
		}

		log(message, {key, text: text.slice(0, shownLength), reason});
	};
}
