/** Opens a server's address, and retries while it can't be used. */
import type { Server } from "node:net";
import { parseListenAddress } from "../util/address.ts";
import type { Milliseconds } from "../util/units.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./observe/event_log.ts";
import type { Metrics } from "./observe/metrics.ts";

/** Delay before the first retry; doubles up to {@link MAX_RETRY_DELAY_MS}. */
const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 500;

/** What errors mean that an operator has to mend. */
const EXPLANATIONS: Readonly<Record<string, string>> = {
  EADDRINUSE: "another process or connection holds the port",
  EADDRNOTAVAIL: "no interface of this machine has the address",
  EACCES: "the process may not open this port",
  EMFILE: "the process has no free file descriptor",
  ENFILE: "the machine has no free file descriptor",
};

/** Options of a {@link Listener}. */
export type ListenerOptions = {
  /** Name in the log. */
  readonly name: string;
  readonly address: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Whether the host is stopping, so that the address isn't wanted anymore. */
  isStopping(): boolean;
};

/**
 * One listening address of a host. Retries whatever the error: some clear up by
 * themselves, others are mended from outside, and a process that exits would
 * only be started again with the same result.
 */
export class Listener {
  readonly #server: Server;
  readonly #options: ListenerOptions;
  readonly #opened: Promise<void>;
  readonly #createdAt: Milliseconds;
  #cancelRetry = () => {};
  #delayMs = FIRST_RETRY_DELAY_MS;
  #reportedCode: string | undefined;
  #isClosed = false;

  constructor(server: Server, options: ListenerOptions) {
    this.#server = server;
    this.#options = options;
    this.#createdAt = options.clock.now();
    server.on("error", (error) => this.#handleError(error));
    this.#opened = new Promise((resolve) => {
      server.once("listening", () => {
        this.#noteOpened();
        resolve();
      });
    });
    this.#tryListen();
  }

  get name(): string {
    return this.#options.name;
  }

  /** Resolves once the address is open; never if it is closed before. */
  get opened(): Promise<void> {
    return this.#opened;
  }

  get isOpen(): boolean {
    return this.#server.listening;
  }

  /** Stops listening, or trying to. */
  close(): void {
    this.#isClosed = true;
    this.#cancelRetry();
    this.#server.close();
  }

  #tryListen(): void {
    if (this.#isClosed || this.#options.isStopping()) return;
    const endpoint = parseListenAddress(this.#options.address);
    this.#server.listen(endpoint?.port, endpoint?.host);
  }

  #handleError(error: NodeJS.ErrnoException): void {
    const { name, address, events, metrics } = this.#options;
    const fields = { listener: name, address, reason: reasonOf(error) };
    if (this.isOpen) {
      metrics.count("accept_failures");
      events.note("acceptFailed", fields);
      return;
    }
    metrics.count("listen_failures");
    if (error.code !== this.#reportedCode) events.note("listenFailed", fields);
    this.#reportedCode = error.code;
    this.#scheduleRetry();
  }

  #scheduleRetry(): void {
    const { clock } = this.#options;
    this.#cancelRetry = clock.after(this.#delayMs, () => this.#tryListen());
    this.#delayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * this.#delayMs);
  }

  #noteOpened(): void {
    if (this.#reportedCode === undefined) return;
    const { name, address, clock, events } = this.#options;
    const waitedMs = Math.round(clock.now() - this.#createdAt);
    events.note("listening", { listener: name, address, waited_ms: waitedMs });
  }
}

function reasonOf(error: NodeJS.ErrnoException): string {
  const explanation = EXPLANATIONS[error.code ?? ""];
  return explanation ? `${error.message} (${explanation})` : error.message;
}
