/** Ends connections whose next request is malformed, too large or too slow. */
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { Pipeline } from "./pipeline.ts";
import { rawResponse } from "./raw_response.ts";

/** Errors by Node's code; other codes are those of malformed requests. */
const ERRORS_BY_CODE: Readonly<Record<string, GatewayError>> = {
  HPE_HEADER_OVERFLOW: GatewayError.headTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: GatewayError.headTooSlow,
};

/** What {@link UnreadableRequests} uses of a gateway's context. */
export type UnreadableRequestsContext = Pick<
  GatewayContext,
  "clock" | "dialect" | "events" | "metrics"
>;

/** Answers requests that can't be read, after those before them. */
export class UnreadableRequests {
  readonly #context: UnreadableRequestsContext;
  readonly #headTimeoutMs: () => Milliseconds;
  /** Cancel the timeouts of heads that were late behind other requests. */
  readonly #lateHeads = new WeakMap<Socket, () => void>();

  constructor(
    context: UnreadableRequestsContext,
    headTimeoutMs: () => Milliseconds,
  ) {
    this.#context = context;
    this.#headTimeoutMs = headTimeoutMs;
  }

  /** Handles an error of Node's parser, or the timeout of a head. */
  failed(
    socket: Socket,
    pipeline: Pipeline,
    { code = "" }: NodeJS.ErrnoException,
  ): void {
    if (code === "ECONNRESET") return void socket.destroy();
    // What comes behind an unreadable request is discarded.
    if (!socket.writable) return;
    const error = ERRORS_BY_CODE[code] ?? GatewayError.malformed;
    // The host may have stopped reading while requests are in progress.
    if (error === GatewayError.headTooSlow && pipeline.isBusy) {
      return void this.#lateHeads.set(socket, () => undefined);
    }
    const response = pipeline.takeIncomplete();
    if (response?.headersSent) return void socket.destroy();
    if (response) return this.#answer(socket, error);
    pipeline.endAfterLast(() => this.#answer(socket, error));
  }

  /** All requests of the connection have been answered. */
  idle(socket: Socket): void {
    if (!this.#lateHeads.has(socket)) return;
    const cancel = this.#context.clock.after(
      this.#headTimeoutMs(),
      () => this.#answer(socket, GatewayError.headTooSlow),
    );
    this.#lateHeads.set(socket, cancel);
  }

  /** A request was received. */
  received(socket: Socket): void {
    const cancel = this.#lateHeads.get(socket);
    if (cancel === undefined) return;
    cancel();
    this.#lateHeads.delete(socket);
  }

  #answer(socket: Socket, error: GatewayError): void {
    const { dialect, events, metrics } = this.#context;
    if (!socket.writable) return;
    metrics.count(`ended_${error}`);
    events.note("unreadable", { error });
    socket.end(rawResponse(error, dialect.retryAfterHeader));
    socket.destroySoon();
  }
}
