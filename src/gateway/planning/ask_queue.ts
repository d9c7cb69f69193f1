/** The requests that wait for a place at a planner. */
import type { Milliseconds } from "../../util/units.ts";
import type { PlanAsk } from "./messages.ts";
import { inOrder } from "./order.ts";

/** A request that waits. */
export type Waiting = {
  /** The host that asks for it. */
  readonly from: string;
  readonly ask: PlanAsk;
  readonly begun: boolean;
  readonly priority: number;
  /** When its first event is due. */
  readonly dueAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  /** It was refused a while ago and came back. */
  readonly returned: boolean;
  /** When its wait is forecast next. */
  forecastAt: Milliseconds;
};

/** Requests by the id of their ask. */
export class AskQueue {
  readonly #waiting = new Map<string, Waiting>();

  /** Requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Enters an ask that came at `now`. */
  add(
    asked: Pick<Waiting, "from" | "ask" | "returned">,
    now: Milliseconds,
  ): void {
    const { ask } = asked;
    this.#waiting.set(ask.id, {
      ...asked,
      begun: ask.begun,
      priority: ask.priority,
      dueAt: now + ask.slackMs,
      giveUpAt: now + ask.patienceMs,
      forecastAt: now,
    });
  }

  /** The request waits no longer. */
  remove(id: string): void {
    this.#waiting.delete(id);
  }

  /** Drops the requests of a host that can't be reached any more. */
  removeHost(from: string): void {
    for (const [id, one] of this.#waiting) {
      if (one.from === from) this.#waiting.delete(id);
    }
  }

  /**
   * The requests in scheduling order; `serviceMs` estimates the time from a
   * grant to the first event.
   */
  inOrder(
    now: Milliseconds,
    serviceMs: (ask: PlanAsk) => Milliseconds,
  ): Waiting[] {
    const all = [...this.#waiting.values()];
    return inOrder(all, now, ({ ask }) => serviceMs(ask));
  }
}
