/**
Stands between the hosts and one executor: passes calls on, holds one of them up, or lets nothing through.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';

export class CallProxy {
	/** No call gets through, and none is answered. */
	isCut = false;
	#target;
	#server;
	/** Chooses the call that is held up next. */
	#isHeldUp;
	#onHeldUp;

	/** `target`: `ip:port` of the executor, also of its next process. */
	constructor(target) {
		this.#target = target;
	}

	async start(ip) {
		this.#server = http.createServer(async (request, response) => {
			await this.#serve(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
		await new Promise((resolve) => {
			this.#server.listen(0, ip, resolve);
		});
		return `${ip}:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** The next call that `isHeldUp` chooses gets no answer. Resolves with it when it is there. */
	async holdNext(isHeldUp) {
		this.#isHeldUp = isHeldUp;
		return new Promise((resolve) => {
			this.#onHeldUp = resolve;
		});
	}

	/** Passes a call on to whatever process is there; resolves with its answer, or undefined. */
	async deliver({method, path, headers, text}) {
		const [host, port] = this.#target.split(':');
		return new Promise((resolve) => {
			const request = http.request(
				{host, port, method, path, headers, agent: false},
				async (response) => {
					resolve({
						status: response.statusCode,
						headers: response.headers,
						text: await readText(response),
					});
				},
			);
			request.on('error', () => {
				resolve(undefined);
			});
			request.end(text);
		});
	}

	async #serve(request, response) {
		const text = await readText(request);
		const {'expected-instance': instance} = request.headers;
		const call = {
			method: request.method,
			path: request.url,
			headers: {
				'content-type': 'application/json',
				'expected-instance': instance,
				'content-length': Buffer.byteLength(text),
			},
			text,
		};
		if (this.isCut || response.destroyed) {
			return;
		}

		if (this.#isHeldUp?.(call.path, JSON.parse(text))) {
			this.#isHeldUp = undefined;
			this.#onHeldUp(call);
			return;
		}

		const reply = await this.deliver(call);
		if (this.isCut || response.destroyed) {
			return;
		}

		if (!reply) {
			response.destroy();
			return;
		}

		response.writeHead(reply.status, {'content-type': 'application/json'});
		response.end(reply.text);
	}
}

async function readText(stream) {
	let text = '';
	stream.setEncoding('utf8');
	try {
		for await (const chunk of stream) {
			text += chunk;
		}
	} catch {
		// Broken off: what has come is all there is.
	}

	return text;
}
