/** The requests that a host has to end before it exits. */
import type { Server } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { type Clock, sleep } from "../clock.ts";
import type { Exchange } from "../requests/exchange.ts";
import { drainServer, iterationEnd } from "./drain_server.ts";
import { OpenReplies } from "./open_replies.ts";
import { PendingRequests } from "./pending_requests.ts";
import {
  UnfinishedRequests,
  type UnfinishedRequestsContext,
  UnfinishedState,
} from "./unfinished_requests.ts";

/** Interval at which a stopping host looks for requests that are too late. */
const LATE_CHECK_INTERVAL_MS: Milliseconds = 50;
/** Time in which the last responses reach their callers. */
const LAST_RESPONSES_MS: Milliseconds = 200;

/** What a host has not finished when it exits. */
export type DrainResult = {
  /** Requests that were ended although they may have run. */
  readonly cut: number;
  /** Requests that were ended and have not run. */
  readonly refused: number;
  /** Responses that were complete at this host but not sent in full. */
  readonly unsent: number;
  /** Pipelined requests that were not started. */
  readonly unstarted: number;
  /** All requests that were logged as unfinished during the stop. */
  readonly unfinished: number;
};

/** Options of {@link OpenRequests.drain}. */
export type DrainOptions = {
  readonly clock: Clock;
  readonly deadline: Milliseconds;
};

/** Requests from their arrival until their responses have been sent. */
export class OpenRequests {
  readonly exchanges = new Set<Exchange>();
  readonly pending = new PendingRequests();
  readonly replies = new OpenReplies();
  readonly unfinished: UnfinishedRequests;
  #isDrained = false;

  constructor(context: UnfinishedRequestsContext) {
    this.unfinished = new UnfinishedRequests(context);
  }

  /**
   * Refuses each request that waits as soon as it can't be finished before this
   * host exits, until `deadline` or the end of {@link drain}.
   */
  async refuseLate(clock: Clock, deadline: Milliseconds): Promise<void> {
    while (!this.#isDrained && clock.now() < deadline) {
      this.pending.refuseLate();
      for (const exchange of this.exchanges) exchange.refuseIfLate();
      await sleep(clock, LATE_CHECK_INTERVAL_MS);
    }
  }

  /**
   * Waits for the requests of a server, ends those that are left at `deadline`,
   * and gives callers a little more time to read their responses.
   */
  async drain(
    server: Server,
    { clock, deadline }: DrainOptions,
  ): Promise<DrainResult> {
    const closed = drainServer(server, this.replies, {
      clock,
      deadline: deadline + LAST_RESPONSES_MS,
    });
    await settled(closed, { clock, deadline });
    // What has arrived by now is delivered first.
    await iterationEnd();
    this.#isDrained = true;
    const { cut, refused } = this.#endOpen();
    await closed;
    this.replies.resetAborted();
    const { unfinished } = this;
    unfinished.noteOpen();
    return {
      cut,
      refused,
      unsent: unfinished.count(UnfinishedState.unsent),
      unstarted: unfinished.count(UnfinishedState.queued),
      unfinished: unfinished.total,
    };
  }

  #endOpen(): Pick<DrainResult, "cut" | "refused"> {
    const pending = this.pending.refuseAll();
    const open = [...this.exchanges];
    const cut = new Set(open.filter((exchange) => exchange.hostStops()));
    this.unfinished.noteCut(cut);
    return { cut: cut.size, refused: pending + open.length - cut.size };
  }
}

/** Resolves when `work` has ended, at the latest at `deadline`. */
function settled(
  work: Promise<void>,
  { clock, deadline }: DrainOptions,
): Promise<void> {
  return new Promise((resolve) => {
    const cancel = clock.after(deadline - clock.now(), resolve);
    void work.then(() => {
      cancel();
      resolve();
    });
  });
}
