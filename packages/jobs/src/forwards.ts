/**
Requests forwarded to the host that owns the job, and still waiting for its answer.

The owner may crash, hang or become unreachable while a caller waits. Its link then goes down,
because it was closed or because heartbeats stopped. All requests that wait on that link are
answered at once with `ran: 'unknown'`, since the owner may have started the job.
*/
import {err, ok} from 'neverthrow';
import {type Link, type MessageOf} from '@gentianshift/protocol';
import {type JobReply} from '@gentianshift/resources';
import {createProblem} from './problems.js';

export type Forward = Omit<MessageOf<'forward'>, 't' | 'request'>;

type PendingForward = {
	linkKey: string;
	id: string;
	resolve: (reply: JobReply) => void;
};

export class Forwards {
	readonly #pending = new Map<number, PendingForward>();
	#lastRequest = 0;

	/** Forwards a request to the owner; resolves with its answer, or with a problem when the link goes down. */
	async sendForward(link: Link, forward: Forward): Promise<JobReply> {
		this.#lastRequest += 1;
		const request = this.#lastRequest;
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
			pending.resolve(
				err(message.problem ?? createOwnerUnreachable(pending.id)),
			);
		}
	}

	/** Answers all requests that wait on this link with `owner-unreachable`. */
	handleLinkDown(key: string): void {
		for (const [request, pending] of this.#pending) {
			if (pending.linkKey === key) {
				this.#pending.delete(request);
				pending.resolve(err(createOwnerUnreachable(pending.id)));
			}
		}
	}
}

/**
The problem for a caller whose job's owner can't be reached. Only the owner knows what ran, so
the caller may query again later.
*/
export function createOwnerUnreachable(id: string) {
	return createProblem(
		'owner-unreachable',
		'unknown',
		'the owner does not answer; it may have started the job',
		{id},
	);
}
