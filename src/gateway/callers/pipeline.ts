/** The requests of one connection of a caller. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { headBytes } from "../http/headers.ts";
import { type ByteBudget, HeldFor } from "../memory/byte_budget.ts";
import { onceClosed } from "./once_closed.ts";

/** Memory of a waiting request besides its head: its objects and listeners. */
const WAITING_OVERHEAD_BYTES = 4 << 10;
/** Share of the bound below which reading goes on. */
const RESUME_SHARE = 0.5;

/** What becomes of a request when all before it have been answered. */
export const Turn = {
  /** It may start. */
  started: "started",
  /** The host has no memory for its head. */
  overBudget: "overBudget",
  /** Its connection is closing, so it must not start. */
  closed: "closed",
} as const;
/** One of the values of {@link Turn}. */
export type Turn = typeof Turn[keyof typeof Turn];

/** Bounds on the requests that wait on one connection. */
export type PipelineBounds = {
  readonly requests: number;
  /** Bytes of their heads and of the objects that Node keeps for each. */
  readonly headBytes: number;
};

/** Options of {@link Pipeline}. */
export type PipelineOptions = {
  readonly socket: Socket;
  readonly budget: ByteBudget;
  readonly bounds: () => PipelineBounds;
  /** Called when reading stops since a bound is reached. */
  readonly onFull: () => void;
  /** Called when the last of the requests has been answered. */
  readonly onIdle: () => void;
};

type Received = {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  /** Bytes held for the request; undefined: the budget has no room. */
  readonly heldBytes: number | undefined;
};

type Waiting = Received & { readonly resolve: (turn: Turn) => void };

/**
 * Starts the requests of a connection one after the other. Any response may
 * close the connection, also one that has begun, and a request that has started
 * by then would run without being answered. The connection is not read while
 * too many of its requests wait.
 */
export class Pipeline {
  readonly #options: PipelineOptions;
  readonly #waiting: Waiting[] = [];
  #waitingBytes = 0;
  #running: Received | undefined;
  /** The request that was received last. */
  #newest: IncomingMessage | undefined;
  #isReadingStopped = false;
  #watchesReading = false;
  /** Called instead of `onIdle` when all requests have been answered. */
  #finalWork: (() => void) | undefined;
  /** Requests that were received after one that is to be the last. */
  #droppedCount = 0;

  constructor(options: PipelineOptions) {
    this.#options = options;
    options.socket.on("close", () => this.#closeWaiting());
  }

  /** Whether a request waits or is in progress. */
  get isBusy(): boolean {
    return this.#running !== undefined;
  }

  /** Whether requests wait behind the one in progress. */
  get hasWaiting(): boolean {
    return this.#waiting.length > 0;
  }

  /** Adds a request on its arrival; resolves when its turn has come. */
  add(incoming: IncomingMessage, response: ServerResponse): Promise<Turn> {
    const { socket } = this.#options;
    if (!socket.writable || this.#isEnding) {
      this.#drop(incoming);
      return Promise.resolve(Turn.closed);
    }
    const received = { incoming, response, heldBytes: this.#hold(incoming) };
    this.#newest = incoming;
    if (this.#running) return this.#wait(received);
    return Promise.resolve(this.#start(received));
  }

  /**
   * Reads no further requests, and calls `work` when those received have been
   * answered; not if the connection closes before.
   */
  endAfterLast(work: () => void): void {
    this.#finalWork = work;
    this.#stopReading();
    if (!this.#running) work();
  }

  /**
   * The response to the request whose body is being received, if it has started
   * already. One that waits is dropped, since its body will not be complete.
   */
  takeIncomplete(): ServerResponse | undefined {
    const newest = this.#newest;
    if (!newest || newest.complete) return undefined;
    if (newest === this.#running?.incoming) return this.#running.response;
    const last = this.#waiting.pop();
    if (!last) return undefined;
    this.#leaveQueue(last);
    this.#close(last);
    return undefined;
  }

  /** Whether no further request is accepted; one that is refused is the last. */
  get #isEnding(): boolean {
    const last = this.#waiting.at(-1);
    const isRefused = last !== undefined && last.heldBytes === undefined;
    return isRefused || this.#finalWork !== undefined;
  }

  /** A caller that goes on after the end is not worth its memory. */
  #drop(incoming: IncomingMessage): void {
    incoming.resume();
    this.#droppedCount += 1;
    const { socket, bounds } = this.#options;
    if (this.#droppedCount > bounds().requests) socket.destroy();
  }

  #hold(incoming: IncomingMessage): number | undefined {
    const { budget } = this.#options;
    const isWaiting = this.#running !== undefined;
    const overheadBytes = isWaiting ? WAITING_OVERHEAD_BYTES : 0;
    const bytes = overheadBytes + headBytes(incoming);
    // Requests that wait leave room for those that may start at once.
    const isMostUrgent = !isWaiting;
    const isHeld = budget.tryHold(HeldFor.heads, bytes, { isMostUrgent });
    return isHeld ? bytes : undefined;
  }

  #wait(received: Received): Promise<Turn> {
    return new Promise((resolve) => {
      this.#waiting.push({ ...received, resolve });
      this.#waitingBytes += received.heldBytes ?? 0;
      const { requests, headBytes: bytes } = this.#options.bounds();
      if (this.#isEnding) return this.#stopReading();
      if (this.#waiting.length < requests && this.#waitingBytes < bytes) return;
      if (!this.#isReadingStopped) this.#options.onFull();
      this.#stopReading();
    });
  }

  #start(received: Received): Turn {
    this.#running = received;
    const { incoming, response } = received;
    onceClosed(incoming, response, () => this.#end(received));
    return received.heldBytes === undefined ? Turn.overBudget : Turn.started;
  }

  #end({ heldBytes = 0 }: Received): void {
    const { socket, budget, onIdle } = this.#options;
    budget.release(HeldFor.heads, heldBytes);
    this.#running = undefined;
    // Node ends the connection before it reports the end of its last response.
    if (!socket.writable) return this.#closeWaiting();
    const next = this.#waiting.shift();
    if (!next) return (this.#finalWork ?? onIdle)();
    this.#leaveQueue(next);
    this.#readOnIfPossible();
    const turn = this.#start(next);
    // Other connections get their turn between two pipelined requests.
    setImmediate(() => next.resolve(socket.writable ? turn : Turn.closed));
  }

  #leaveQueue({ heldBytes = 0 }: Waiting): void {
    this.#waitingBytes -= heldBytes;
  }

  #closeWaiting(): void {
    for (const waiting of this.#waiting.splice(0)) this.#close(waiting);
    this.#waitingBytes = 0;
  }

  #close({ incoming, heldBytes = 0, resolve }: Waiting): void {
    this.#options.budget.release(HeldFor.heads, heldBytes);
    incoming.resume();
    resolve(Turn.closed);
  }

  #stopReading(): void {
    const { socket } = this.#options;
    this.#isReadingStopped = true;
    socket.pause();
    if (this.#watchesReading) return;
    this.#watchesReading = true;
    // Node resumes the socket when it has received a whole request.
    socket.on("resume", () => {
      // An ended connection is read to its end, so that it closes in order.
      if (this.#isReadingStopped && socket.writable) socket.pause();
    });
  }

  #readOnIfPossible(): void {
    const { socket, bounds } = this.#options;
    if (!this.#isReadingStopped || this.#isEnding) return;
    const { requests, headBytes: bytes } = bounds();
    if (this.#waiting.length > requests * RESUME_SHARE) return;
    if (this.#waitingBytes > bytes * RESUME_SHARE) return;
    this.#isReadingStopped = false;
    socket.resume();
  }
}
