/** Names the requests that a stopping host leaves without a whole response. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { Exchange } from "../requests/exchange.ts";
import { onceClosed } from "./once_closed.ts";

/** How far an unfinished request had come. */
export const UnfinishedState = {
  /** It waited for the responses before it on its connection. */
  queued: "queued",
  /** It was being read, or waited for something; it has not run. */
  waiting: "waiting",
  /** It was sent to a replica and may have run. */
  running: "running",
  /** The response of its replica was complete, but not all of it was sent. */
  unsent: "unsent",
} as const;
/** One of the values of {@link UnfinishedState}. */
export type UnfinishedState =
  typeof UnfinishedState[keyof typeof UnfinishedState];

/** A request that was received and whose response has not been sent. */
type OpenRequest = {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly receivedAt: Milliseconds;
  isStarted: boolean;
  exchange?: Exchange;
};

/** What {@link UnfinishedRequests} uses of a gateway's context. */
export type UnfinishedRequestsContext = Pick<
  GatewayContext,
  "clock" | "dialect" | "events" | "stop"
>;

/**
 * Follows requests from their arrival until their responses have been sent.
 * While the host stops, each one that ends without a whole response is logged,
 * without a limit on the number of lines.
 */
export class UnfinishedRequests {
  readonly #context: UnfinishedRequestsContext;
  readonly #open = new Map<ServerResponse, OpenRequest>();
  readonly #counts = new Map<UnfinishedState, number>();

  constructor(context: UnfinishedRequestsContext) {
    this.#context = context;
  }

  /** Number of requests that have been logged in this state. */
  count(state: UnfinishedState): number {
    return this.#counts.get(state) ?? 0;
  }

  /** Number of requests that have been logged. */
  get total(): number {
    return [...this.#counts.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Adds a request on its arrival. */
  add(incoming: IncomingMessage, response: ServerResponse): void {
    const receivedAt = this.#context.clock.now();
    const request = { incoming, response, receivedAt, isStarted: false };
    this.#open.set(response, request);
    response.once("finish", () => {
      // Node also reports what was discarded with its connection as finished.
      if (!incoming.socket.destroyed) this.#open.delete(response);
    });
    onceClosed(incoming, response, () => this.#ended(response));
  }

  /** Records that the requests before it on its connection were answered. */
  started(response: ServerResponse): void {
    const request = this.#open.get(response);
    if (request) request.isStarted = true;
  }

  /** Records the exchange that serves a request. */
  served(response: ServerResponse, exchange: Exchange): void {
    const request = this.#open.get(response);
    if (request) request.exchange = exchange;
  }

  /** Logs the requests that were ended although they may have run. */
  noteCut(exchanges: ReadonlySet<Exchange>): void {
    for (const [response, request] of [...this.#open]) {
      if (!request.exchange || !exchanges.has(request.exchange)) continue;
      this.#open.delete(response);
      this.#note(request, UnfinishedState.running);
    }
  }

  /** Logs all requests that are left when the host exits. */
  noteOpen(): void {
    for (const response of [...this.#open.keys()]) this.#ended(response);
  }

  #ended(response: ServerResponse): void {
    const request = this.#open.get(response);
    if (!request) return;
    this.#open.delete(response);
    if (this.#context.stop.requestedAt === undefined) return;
    this.#note(request, stateOf(request));
  }

  #note(
    { incoming, receivedAt, exchange }: OpenRequest,
    state: UnfinishedState,
  ): void {
    const { clock, dialect, events, stop } = this.#context;
    const { requestedAt = receivedAt } = stop;
    this.#counts.set(state, this.count(state) + 1);
    events.note("unfinished", {
      request: dialect.readRequest(incoming.headers).id,
      state,
      whole: incoming.complete,
      ...exchange?.progress.fields,
      received_ms: Math.round(receivedAt - requestedAt),
      spent_ms: Math.round(clock.now() - receivedAt),
    });
  }
}

function stateOf(
  { response, isStarted, exchange }: OpenRequest,
): UnfinishedState {
  if (!isStarted) return UnfinishedState.queued;
  if (response.writableEnded) return UnfinishedState.unsent;
  return exchange?.progress.mayHaveRun
    ? UnfinishedState.running
    : UnfinishedState.waiting;
}
