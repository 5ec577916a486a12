/**
Runs `work` once the event loop has read all input that had arrived when this function was called.

The current loop turn isn't enough after a pause of this host: the turn may be handling input that it
found before the pause, or be running timers, which precede the poll for input. The next turn is a
complete one, and reads the input that arrived during the pause.
*/
export function runAfterNextPoll(work: () => void): void {
	setImmediate(() => {
		setImmediate(work);
	});
}
