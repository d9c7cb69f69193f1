/**
 * Keeps all hosts together within the limits that replicas name. Each send to a
 * replica needs a permit; where the replica has a limit, an owner among the
 * hosts gives it and counts for all of them. It is asked by every way that
 * leads to a replica, so that none of them needs to know of limits.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import type { QuotaTake } from "../quota/ledger.ts";
import { QuotaMember, type QuotaOutcome } from "../quota/member.ts";
import { QuotaOwner } from "../quota/owner.ts";
import type { Replica } from "../replicas/replica.ts";
import {
  LEAST_PER_SECOND,
  limitAllowance,
  PAST_SEND_UNITS,
  PAST_SENDS_MS,
  PERMITS_MEMORY_MS,
} from "./allowance.ts";
import { LimitTable } from "./limit_table.ts";
import type { LimitHeader, LimitRecord } from "./model.ts";

/**
 * Longest wait for an owner's answer, which takes some 3 ms: then the request
 * goes to another replica, or is told to come back.
 */
const ANSWER_MS = 100;
/** A request that no owner answered comes back after this time. */
const UNKNOWN_RETRY_MS = 500;
/** Links to owners are closed when no limit was known for so long. */
const REST_MS = 30_000;
/** What is logged of a header that is no number, in characters. */
const LONGEST_TEXT = 40;

/** Leave to send one request to a replica. */
export type SendPermit = {
  /** The request goes out. */
  use(): void;
  /** It won't be sent; nothing happens if it was. */
  giveBack(): void;
};

/** A permit, or when to ask again. */
export type PermitOutcome =
  | { readonly type: "granted"; readonly permit: SendPermit }
  | { readonly type: "refused"; readonly retryAfterMs: Milliseconds };

/** Told what is news here; `from` is whom it came from, if not this host. */
export type LimitListener = (
  news: readonly LimitRecord[],
  from: unknown,
) => void;

/** What the limits are made from. */
export type ReplicaLimitsSource = {
  readonly self: {
    readonly id: HostId;
    readonly hall: string;
    readonly run: string;
  };
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
  /** The replica of an incarnation, while it is listed. */
  readonly replicaOf: (incarnation: string) => Replica | undefined;
  /** The other hosts; the same array while none changes. */
  readonly hosts: () => readonly HostEntry[];
  /** Hosts of the fleet, this one included. */
  readonly hostCount: () => number;
  /** Opens a link to an owner. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
};

/** The limits that this host knows of, and its sends under them. */
export class ReplicaLimits {
  /** Counts for the hosts that name this one. */
  readonly owner: QuotaOwner;
  readonly #source: ReplicaLimitsSource;
  readonly #table = new LimitTable();
  readonly #member: QuotaMember;
  readonly #listeners: LimitListener[] = [];
  #limitedAt: Milliseconds = -Infinity;

  constructor(source: ReplicaLimitsSource) {
    const { self, clock, events, hosts, hostCount, openLink } = source;
    this.#source = source;
    this.owner = new QuotaOwner({
      clock,
      run: self.run,
      allowance: ({ name, rate }, share) =>
        limitAllowance(this.limitOf(name) ?? rate.perSecond, share),
      memoryMs: () => PERMITS_MEMORY_MS,
      knownHosts: hostCount,
    });
    this.#member = new QuotaMember({
      self,
      clock,
      own: this.owner,
      hosts,
      memoryMs: () => PERMITS_MEMORY_MS,
      path: LinkPath.limit,
      noteLost: (owner) => events.note("limitOwnerLost", { owner }),
      openLink,
    });
  }

  /** Replicas that have a limit now. */
  get limited(): number {
    return this.#table.limited;
  }

  /** Requests a second that a replica takes; undefined: any number. */
  limitOf(incarnation: string): number | undefined {
    return this.#table.limitOf(incarnation);
  }

  /** Calls `listener` with all that becomes known. */
  listen(listener: LimitListener): void {
    this.#listeners.push(listener);
  }

  /** All that is known, for a host that may know nothing. */
  all(): readonly LimitRecord[] {
    return this.#table.all();
  }

  /** An answer of the replica came, to a request that was sent at `sentAt`. */
  hear(
    incarnation: string,
    header: LimitHeader,
    sentAt: Milliseconds,
  ): void {
    const before = this.limitOf(incarnation);
    if (header.type === "unreadable") {
      this.#source.events.note("limitUnreadable", {
        replica: incarnation,
        text: header.text.slice(0, LONGEST_TEXT),
        per_second: before,
      });
    }
    const now = this.#source.clock.now();
    const change = this.#table.hear({ incarnation, header, sentAt }, now);
    if (!change) return;
    this.#noteChange(change, before);
    this.#tell([change], undefined);
  }

  /** Takes what another host knows. */
  take(records: readonly LimitRecord[], from: unknown): void {
    const before = new Map(
      records.map((one) => [one.incarnation, this.limitOf(one.incarnation)]),
    );
    const news = this.#table.take(records);
    if (news.length === 0) return;
    for (const one of news) this.#noteChange(one, before.get(one.incarnation));
    this.#tell(news, from);
  }

  /** Links to owners stand while there is a limit. */
  link(): void {
    if (this.#table.size === 0) return;
    const now = this.#source.clock.now();
    if (this.limited > 0) this.#limitedAt = now;
    if (now - this.#limitedAt < REST_MS) this.#member.refresh();
    else this.#member.idle();
  }

  /** Leave to send one request to the replica now. */
  async permit(replica: Replica): Promise<PermitOutcome> {
    const { incarnation } = replica.entry;
    const perSecond = this.limitOf(incarnation);
    if (perSecond === undefined) {
      return { type: "granted", permit: this.#freePermit(replica) };
    }
    const { metrics } = this.#source;
    const outcome = await this.#inTime(
      this.#member.take(takeOf(incarnation, perSecond)),
    );
    metrics.count(`limit_permits_${outcome.type}`);
    if (outcome.type === "granted") {
      return { type: "granted", permit: countedPermit(outcome) };
    }
    const retryAfterMs = outcome.type === "refused"
      ? outcome.retryAfterMs
      : UNKNOWN_RETRY_MS;
    return { type: "refused", retryAfterMs };
  }

  /** An owner that is late is not waited for; what it gives then goes back. */
  #inTime(outcome: Promise<QuotaOutcome>): Promise<QuotaOutcome> {
    const { clock } = this.#source;
    return new Promise((resolve) => {
      let isLate = false;
      const cancel = clock.after(ANSWER_MS, () => {
        isLate = true;
        resolve({ type: "unknown" });
      });
      void outcome.then((one) => {
        cancel();
        if (isLate && one.type === "granted") one.giveBack();
        resolve(one);
      });
    });
  }

  /**
   * The send is remembered: if the replica names a limit soon after, it counts
   * against it.
   */
  #freePermit(replica: Replica): SendPermit {
    const { clock } = this.#source;
    return {
      use: () => {
        const now = clock.now();
        const { incarnation } = replica.entry;
        const perSecond = this.limitOf(incarnation);
        // It was named between the permit and the send.
        if (perSecond === undefined) return replica.noteSend(now);
        this.#member.noteTaken(takeOf(incarnation, perSecond), [now]);
      },
      giveBack: () => undefined,
    };
  }

  #noteChange(
    { incarnation, perSecond }: LimitRecord,
    before: number | undefined,
  ): void {
    const { events, clock, replicaOf } = this.#source;
    const replica = incarnation;
    if (perSecond === undefined) {
      return events.note("limitEnded", { replica, before });
    }
    events.note("limitNamed", { replica, per_second: perSecond, before });
    if (before !== undefined) return;
    this.#limitedAt = clock.now();
    const oldest = clock.now() - PAST_SENDS_MS;
    const sends = replicaOf(incarnation)?.takeSends(oldest) ?? [];
    const past = { ...takeOf(incarnation, perSecond), units: PAST_SEND_UNITS };
    this.#member.noteTaken(past, sends);
    this.#member.refresh();
  }

  #tell(news: readonly LimitRecord[], from: unknown): void {
    for (const listener of this.#listeners) listener(news, from);
  }
}

/** One request of what a replica takes; nobody waits for it. */
function takeOf(incarnation: string, perSecond: number): QuotaTake {
  return {
    customer: incarnation,
    units: 1,
    rate: { perSecond: Math.max(LEAST_PER_SECOND, perSecond), burst: 0 },
    version: 0,
    mostWaitMs: 0,
  };
}

function countedPermit(
  outcome: Extract<QuotaOutcome, { type: "granted" }>,
): SendPermit {
  let isOpen = true;
  return {
    use: () => isOpen = false,
    giveBack: () => {
      if (isOpen) outcome.giveBack();
      isOpen = false;
    },
  };
}
