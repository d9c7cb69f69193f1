/**
 * Keeps the requests of all hosts together within the limits that replicas
 * name. Each send to a replica needs a permit. If the replica has a limit, one
 * of the hosts, its owner, grants the permits and counts them for all hosts.
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
import type { QuotaRequest } from "../quota/ledger.ts";
import { QuotaMember } from "../quota/member.ts";
import type { QuotaOutcome } from "../quota/member_options.ts";
import { QuotaOwner } from "../quota/owner.ts";
import type { Replica } from "../replicas/replica.ts";
import {
  limitAllowance,
  MIN_PER_SECOND,
  PAST_SEND_UNITS,
  PAST_SENDS_WINDOW_MS,
  PERMIT_RETENTION_MS,
} from "./allowance.ts";
import { LimitTable } from "./limit_table.ts";
import type { LimitHeader, LimitRecord } from "./model.ts";

/**
 * Maximum wait for an owner's response. After it the request is sent to another
 * replica or refused.
 */
const OWNER_TIMEOUT_MS = 100;
/** Retry delay of a request to which no owner responded in time. */
const TIMEOUT_RETRY_MS = 500;
/** Links to owners are closed after this time without any limit. */
const IDLE_LINK_TIMEOUT_MS = 30_000;
/** Maximum number of characters logged of an unreadable header. */
const MAX_LOGGED_CHARS = 40;

/** Permission to send one request to a replica. */
export type SendPermit = {
  /** Marks the permit as used: the request is sent. */
  use(): void;
  /** Releases the permit unless it was used. */
  release(): void;
};

/** A permit, or when to retry. */
export type PermitOutcome =
  | { readonly type: "granted"; readonly permit: SendPermit }
  | { readonly type: "refused"; readonly retryAfterMs: Milliseconds };

/**
 * Called with records that are new to this host; `from` is the sender,
 * undefined when this host observed them.
 */
export type LimitListener = (
  updates: readonly LimitRecord[],
  from: unknown,
) => void;

/** Options of {@link ReplicaLimits}. */
export type ReplicaLimitsOptions = {
  readonly self: {
    readonly id: HostId;
    readonly hall: string;
    readonly run: string;
  };
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count" | "countLabelled">;
  /** The replica with the given incarnation, while it is listed. */
  readonly replicaOf: (incarnation: string) => Replica | undefined;
  /** The other hosts; the same array as long as none changes. */
  readonly hosts: () => readonly HostEntry[];
  /** Number of hosts in the fleet, this one included. */
  readonly hostCount: () => number;
  /** Opens a link to an owner. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
};

/** The limits of replicas, and this host's permits under them. */
export class ReplicaLimits {
  /** Grants permits to the hosts that chose this host as owner. */
  readonly owner: QuotaOwner;
  readonly #options: ReplicaLimitsOptions;
  readonly #table = new LimitTable();
  readonly #member: QuotaMember;
  readonly #listeners: LimitListener[] = [];
  #lastLimitedAt: Milliseconds = -Infinity;

  constructor(options: ReplicaLimitsOptions) {
    const { self, clock, events, hosts, hostCount, openLink, metrics } =
      options;
    this.#options = options;
    this.owner = new QuotaOwner({
      clock,
      metrics,
      run: self.run,
      keepBackup: (backup) => this.#member.keepBackup(backup),
      allowance: ({ name, rate }, { share }) =>
        limitAllowance(this.limitOf(name) ?? rate.perSecond, share),
      retentionMs: () => PERMIT_RETENTION_MS,
      knownHosts: hostCount,
    });
    this.#member = new QuotaMember({
      self,
      clock,
      localOwner: this.owner,
      hosts,
      retentionMs: () => PERMIT_RETENTION_MS,
      path: LinkPath.limit,
      noteLost: (owner) => events.note("limitOwnerLost", { owner }),
      openLink,
    });
  }

  /** Number of replicas that have a limit. */
  get limited(): number {
    return this.#table.limited;
  }

  /** A replica's limit in requests per second, if it has one. */
  limitOf(incarnation: string): number | undefined {
    return this.#table.limitOf(incarnation);
  }

  /** Calls `listener` with each update. */
  listen(listener: LimitListener): void {
    this.#listeners.push(listener);
  }

  /** All records, for a host that has just connected. */
  all(): readonly LimitRecord[] {
    return this.#table.all();
  }

  /**
   * Handles the headers of a response to a request that was sent at `sentAt`.
   */
  observe(
    incarnation: string,
    header: LimitHeader,
    sentAt: Milliseconds,
  ): void {
    const before = this.limitOf(incarnation);
    if (header.type === "unreadable") {
      this.#options.events.note("limitUnreadable", {
        replica: incarnation,
        text: header.text.slice(0, MAX_LOGGED_CHARS),
        per_second: before,
      });
    }
    const now = this.#options.clock.now();
    const change = this.#table.observe({ incarnation, header, sentAt }, now);
    if (!change) return;
    this.#noteChange(change, before);
    this.#notify([change], undefined);
  }

  /** Handles records received from another host. */
  receive(records: readonly LimitRecord[], from: unknown): void {
    const before = new Map(
      records.map((
        record,
      ) => [record.incarnation, this.limitOf(record.incarnation)]),
    );
    const updates = this.#table.merge(records);
    if (updates.length === 0) return;
    for (const record of updates) {
      this.#noteChange(record, before.get(record.incarnation));
    }
    this.#notify(updates, from);
  }

  /** Opens links to owners while there is a limit, and closes idle ones. */
  maintainLinks(): void {
    if (this.#table.size === 0) return;
    const now = this.#options.clock.now();
    if (this.limited > 0) this.#lastLimitedAt = now;
    if (now - this.#lastLimitedAt < IDLE_LINK_TIMEOUT_MS) {
      this.#member.refresh();
    } else this.#member.closeLinks();
  }

  /** Requests a permit to send one request to the replica now. */
  async permit(replica: Replica): Promise<PermitOutcome> {
    const { incarnation } = replica.entry;
    const perSecond = this.limitOf(incarnation);
    if (perSecond === undefined) {
      return { type: "granted", permit: this.#freePermit(replica) };
    }
    const { metrics } = this.#options;
    const outcome = await this.#withTimeout(
      this.#member.acquire(quotaRequestOf(incarnation, perSecond)),
    );
    metrics.count(`limit_permits_${outcome.type}`);
    if (outcome.type === "granted") {
      return { type: "granted", permit: countedPermit(outcome) };
    }
    const retryAfterMs = outcome.type === "refused"
      ? outcome.retryAfterMs
      : TIMEOUT_RETRY_MS;
    return { type: "refused", retryAfterMs };
  }

  /**
   * Limits the wait for an owner's response; releases a permit that comes late.
   */
  #withTimeout(outcome: Promise<QuotaOutcome>): Promise<QuotaOutcome> {
    const { clock } = this.#options;
    return new Promise((resolve) => {
      let isLate = false;
      const cancel = clock.after(OWNER_TIMEOUT_MS, () => {
        isLate = true;
        resolve({ type: "unknown" });
      });
      void outcome.then((result) => {
        cancel();
        if (isLate && result.type === "granted") result.release();
        resolve(result);
      });
    });
  }

  /**
   * Permits a send to a replica without a limit. The send is recorded, since
   * it counts against a limit that the replica names soon after.
   */
  #freePermit(replica: Replica): SendPermit {
    const { clock } = this.#options;
    return {
      use: () => {
        const now = clock.now();
        const { incarnation } = replica.entry;
        const perSecond = this.limitOf(incarnation);
        // Otherwise the limit was named between the permit and the send.
        if (perSecond === undefined) return replica.noteSend(now);
        this.#member.noteAcquired(quotaRequestOf(incarnation, perSecond), [
          now,
        ]);
      },
      release: () => undefined,
    };
  }

  #noteChange(
    { incarnation, perSecond }: LimitRecord,
    before: number | undefined,
  ): void {
    const { events, clock, replicaOf } = this.#options;
    const replica = incarnation;
    if (perSecond === undefined) {
      return events.note("limitEnded", { replica, before });
    }
    events.note("limitNamed", { replica, per_second: perSecond, before });
    if (before !== undefined) return;
    this.#lastLimitedAt = clock.now();
    const oldest = clock.now() - PAST_SENDS_WINDOW_MS;
    const sends = replicaOf(incarnation)?.takeSends(oldest) ?? [];
    const past = {
      ...quotaRequestOf(incarnation, perSecond),
      units: PAST_SEND_UNITS,
    };
    this.#member.noteAcquired(past, sends);
    this.#member.refresh();
  }

  #notify(updates: readonly LimitRecord[], from: unknown): void {
    for (const listener of this.#listeners) listener(updates, from);
  }
}

/** The quota request for one send to a replica; granted or refused at once. */
function quotaRequestOf(incarnation: string, perSecond: number): QuotaRequest {
  return {
    customer: incarnation,
    units: 1,
    rate: { perSecond: Math.max(MIN_PER_SECOND, perSecond), burst: 0 },
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
    release: () => {
      if (isOpen) outcome.release();
      isOpen = false;
    },
  };
}
