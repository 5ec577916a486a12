/**
Requests handed to other hosts, waiting for their answers.

What goes wrong: the owner dies, freezes or is cut off while a caller waits. Noticed when the
link to it goes down (by close, or by the heartbeat's silence). All that waits on that link is
answered then, at once, with "unknown": the owner may have started the job.
*/
import {err, ok} from 'neverthrow';
import {type Link, type MessageOf} from '@gentianshift/protocol';
import {type JobReply} from '@gentianshift/resources';
import {createProblem} from './problems.js';

export type Forward = Omit<MessageOf<'forward'>, 't' | 'request'>;

type Pending = {
	linkKey: string;
	id: string;
	resolve: (reply: JobReply) => void;
};

export class Forwards {
	readonly #pending = new Map<number, Pending>();
	#last = 0;

	/** Sends to the owner; resolves with its answer or when the link goes down. */
	async sendForward(link: Link, forward: Forward): Promise<JobReply> {
		this.#last += 1;
		const request = this.#last;
		const reply = new Promise<JobReply>((resolve) => {
			this.#pending.set(request, {linkKey: link.key, id: forward.id, resolve});
		});
		link.send({t: 'forward', request, ...forward});
		return reply;
	}

	receiveAnswer(message: MessageOf<'answer'>): void {
		const pending = this.#pending.get(message.request);
		if (!pending) {
			return;
		}

		this.#pending.delete(message.request);
		if (message.answer) {
			pending.resolve(ok(message.answer));
		} else {
			pending.resolve(err(message.problem ?? createUnreachable(pending.id)));
		}
	}

	/** Answers all that waited on this link. */
	dropLink(key: string): void {
		for (const [request, pending] of this.#pending) {
			if (pending.linkKey === key) {
				this.#pending.delete(request);
				pending.resolve(err(createUnreachable(pending.id)));
			}
		}
	}
}

/** The caller may ask again later; only the owner knows what ran. */
export function createUnreachable(id: string) {
	return createProblem(
		'owner-unreachable',
		'unknown',
		'the owner does not answer; it may have started the job',
		{id},
	);
}
