/**
Runs work when the loop has read all that had come in when this was called.

The rest of the present loop turn may still handle what was found before a pause of this host, or be
its timers, which come before any reading; the next one, a whole turn, reads what came meanwhile.
*/
export function runAfterReading(work: () => void): void {
	setImmediate(() => {
		setImmediate(work);
	});
}
