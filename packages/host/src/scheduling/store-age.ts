/**
How long ago the store last answered this host.
*/
import {type CoordinationStore} from '@gentianshift/scheduling';

/**
Reported before the first answer: above every limit on the age, and small enough for a message.
*/
const neverAnsweredMs = 1e9;

export function measureStoreAge(store: CoordinationStore, now: number): number {
	const answeredAt = store.getAnsweredAt();
	return answeredAt === undefined ? neverAnsweredMs : now - answeredAt;
}
