/**
Counts what goes over the mesh: frames as messages (all that one loop turn sends to a peer
travels in one), by their first message's kind.
*/
import {type Meter} from '@gentianshift/protocol';
import {type Metrics} from '@gentianshift/telemetry';

export function createMeter(metrics: Metrics): Meter {
	return {
		countFrame(direction, messages) {
			metrics.messages.inc({direction, kind: chooseKind(messages)});
		},
		countBytesIn(bytes) {
			metrics.bytes.inc({direction: 'in', link: 'hosts'}, bytes);
		},
		countBytesOut(bytes) {
			metrics.bytes.inc({direction: 'out', link: 'hosts'}, bytes);
		},
		countBadFrame() {
			metrics.badFrames.inc();
		},
	};
}

/** Heartbeats are counted as such only when nothing else travels with them. */
function chooseKind(messages: ReadonlyArray<{t: string}>): string {
	const other = messages.find(({t}) => t !== 'ping' && t !== 'pong');
	return (other ?? messages[0])?.t ?? 'empty';
}
