/**
 * Holds requests of plain services that are beyond their customers' shares.
 * Replicas serve their queues in order of arrival, so the requests of one
 * customer would delay those of all others there.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { CustomerShares, PlainPool } from "./customer_shares.ts";
import type { Ledger } from "./ledger.ts";
import { type Outcome, WAIT } from "./outcome.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { PlannerView } from "./view.ts";

/**
 * Time for a refusal to reach its host, which otherwise gives the planner up
 * and chooses a replica itself.
 */
const REPLY_MARGIN_MS = 40;

/** Options of {@link PlainHold}. */
export type PlainHoldOptions = {
  readonly view: Pick<PlannerView, "isPaused" | "scheduling">;
  readonly ledger: Pick<Ledger, "reservedTokensAt">;
  readonly shares: Pick<CustomerShares, "hasPlainRoom" | "refusePlain">;
};

/** Decides whether a plain request has to wait for its customer's share. */
export class PlainHold {
  readonly #options: PlainHoldOptions;

  constructor(options: PlainHoldOptions) {
    this.#options = options;
  }

  /** Lets it wait, or refuses it; undefined: it may be assigned now. */
  decide(
    { request, abandonAt, mayHaveRun }: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): Outcome | undefined {
    const { view, shares } = this.#options;
    if (!view.scheduling.customerShares || mayHaveRun) return undefined;
    if (shares.hasPlainRoom(request, this.#pool(replicas), now)) {
      return undefined;
    }
    if (now < abandonAt - REPLY_MARGIN_MS) return WAIT;
    const retryAfterMs = shares.refusePlain(request, now);
    return { type: "refuse", reason: "busy", retryAfterMs };
  }

  /** Sums over the replicas that are not paused; over all if all are. */
  #pool(replicas: readonly ReplicaEntry[]): PlainPool {
    const { view, ledger } = this.#options;
    const healthy = replicas.filter(({ incarnation }) =>
      !view.isPaused(incarnation)
    );
    let slots = 0;
    let inFlight = 0;
    for (const entry of healthy.length > 0 ? healthy : replicas) {
      slots += entry.slots;
      inFlight += ledger.reservedTokensAt(entry.incarnation);
    }
    return { slots, inFlight };
  }
}
