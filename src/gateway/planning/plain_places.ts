/** Places at the replicas of plain services, which queue requests themselves. */
import type { Milliseconds } from "../../util/units.ts";
import { LEAST_PER_SECOND } from "../limits/allowance.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Waiting } from "./ask_queue.ts";
import type { Ledger } from "./ledger.ts";
import type { LimitPace } from "./limit_pace.ts";
import type { PlanAsk } from "./messages.ts";
import { choosePlain } from "./plain_choice.ts";
import { RateShare } from "./rate_share.ts";
import { Urgency } from "./urgency.ts";
import type { PlannerView } from "./view.ts";

/** A caller of a plain service that is full comes back after this, or twice. */
const RETRY_MS = 300;

/** What a choice goes by. */
export type PlainPlacesSource = {
  readonly view: PlannerView;
  readonly ledger: Ledger;
  readonly pace: LimitPace;
  /** The replica rejected a request a moment ago, or its limit has no room. */
  isFull(incarnation: string, now: Milliseconds): boolean;
};

/** A replica, or when to come back. */
export type PlainPlace =
  | { readonly type: "replica"; readonly replica: ReplicaEntry }
  | {
    readonly type: "full";
    readonly retryAfterMs: Milliseconds;
    /** All replicas limit their requests. */
    readonly isLimited: boolean;
  };

/** Chooses replicas of plain services. */
export class PlainPlaces {
  readonly #source: PlainPlacesSource;
  readonly #urgency = new Urgency();
  readonly #shares = new Map<string, RateShare>();

  constructor(source: PlainPlacesSource) {
    this.#source = source;
  }

  /** A request asks for a place. */
  noteAsk({ service, priority }: PlanAsk, now: Milliseconds): void {
    this.#urgency.note(service, priority, now);
    this.#shareOf(service).noteAsk(priority, now);
  }

  /** A place at one of the replicas, of which there is one at least. */
  find(
    one: Waiting,
    open: readonly ReplicaEntry[],
    now: Milliseconds,
  ): PlainPlace {
    const { view, pace } = this.#source;
    const { ask: { service, longestRetryMs }, priority } = one;
    const share = this.#shareOf(service);
    const perSecond = this.#rateOf(open);
    const isLimited = perSecond !== undefined;
    const mayTake = !isLimited || one.begun ||
      share.mayTake(priority, perSecond, now);
    const replica = mayTake ? this.#choose(one, open, now) : undefined;
    if (replica) {
      const { incarnation } = replica;
      view.noteTry(incarnation, now);
      pace.noteGrant(incarnation, now);
      share.noteGrant(priority, now);
      return { type: "replica", replica };
    }
    const retryAfterMs = isLimited
      ? share.comeBackMs({
        perSecond,
        soonestMs: pace.soonestMs(open, now),
        longestRetryMs,
      }, now)
      : RETRY_MS * (1 + view.random());
    return { type: "full", retryAfterMs, isLimited };
  }

  /** The replica with least load; a full one is left out. */
  #choose(
    one: Waiting,
    open: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const { view, ledger, isFull } = this.#source;
    const { service, hall } = one.ask;
    return choosePlain(open, {
      hall,
      farCharge: view.farCharge,
      inFlight: (incarnation) => ledger.memoryAt(incarnation),
      isPaused: (incarnation) => view.isPaused(incarnation),
      isFull: (incarnation) => isFull(incarnation, now),
      yieldsWhenFull: !one.begun &&
        this.#urgency.hasMoreUrgent(service, one.priority, now),
    });
  }

  /** Requests a second that all of them take; undefined: one takes any number. */
  #rateOf(open: readonly ReplicaEntry[]): number | undefined {
    let sum = 0;
    for (const { incarnation } of open) {
      const perSecond = this.#source.view.limitOf(incarnation);
      if (perSecond === undefined) return undefined;
      sum += perSecond;
    }
    return Math.max(LEAST_PER_SECOND, sum);
  }

  #shareOf(service: string): RateShare {
    const known = this.#shares.get(service);
    if (known) return known;
    const share = new RateShare(this.#source.view.random);
    this.#shares.set(service, share);
    return share;
  }
}
