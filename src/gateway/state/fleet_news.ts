/**
 * Replica state that hosts exchange in addition to the store's listing: crashes,
 * rate limits and draining replicas.
 */
import * as z from "zod";
import type { Clock } from "../clock.ts";
import {
  type CrashesMessage,
  CrashesSchema,
  decodeCrashes,
  encodeCrashes,
} from "../crashes/crash_messages.ts";
import type { CrashWatch } from "../crashes/crash_watch.ts";
import type { CrashNews } from "../crashes/model.ts";
import {
  decodeLimits,
  encodeLimits,
  type LimitsMessage,
  LimitsSchema,
} from "../limits/limit_messages.ts";
import type { LimitRecord } from "../limits/model.ts";
import type { ReplicaLimits } from "../limits/replica_limits.ts";
import type { Link } from "../peers/link.ts";
import { NewsSharing } from "../peers/news_sharing.ts";
import type { LeavingReplicas } from "../replicas/leaving_replicas.ts";

/** Limits the messages per link when many replicas crash or drain at once. */
const BATCH_INTERVAL_MS = 20;
/** A replica may report a different limit in each response. */
const LIMIT_BATCH_INTERVAL_MS = 100;

/** Replicas that are draining; a replica never cancels draining. */
const LeavingSchema = z.object({
  type: z.literal("leaving"),
  incarnations: z.array(z.string()).readonly(),
});

/** An update message. */
export type UpdateMessage =
  | CrashesMessage
  | LimitsMessage
  | z.output<typeof LeavingSchema>;
/** Schemas of the update messages. */
export const UPDATE_SCHEMAS = [
  CrashesSchema,
  LimitsSchema,
  LeavingSchema,
] as const;

/** Exchanges updates over links. */
export type News = {
  /** Sends all known state over a link that has just opened. */
  greet(link: Link): void;
  /** Handles an update that was received over a link. */
  take(link: Link, message: UpdateMessage): void;
};

/** Whether a message is an update. */
export function isUpdate(
  message: { readonly type: string },
): message is UpdateMessage {
  const { type } = message;
  return type === "crashes" || type === "limits" || type === "leaving";
}

/** Options of {@link FleetUpdates}. */
export type FleetUpdatesOptions = {
  readonly clock: Clock;
  readonly crashes: CrashWatch;
  readonly limits: ReplicaLimits;
  readonly leaving: LeavingReplicas;
  /** The open links. */
  readonly links: () => readonly Link[];
};

/** Sends the updates of one host, and applies and forwards received ones. */
export class FleetUpdates implements News {
  readonly #options: FleetUpdatesOptions;
  readonly #crashes: NewsSharing<CrashNews>;
  readonly #limits: NewsSharing<readonly LimitRecord[]>;
  readonly #leaving: NewsSharing<readonly string[]>;

  constructor(options: FleetUpdatesOptions) {
    const { clock, crashes, limits, leaving, links } = options;
    this.#options = options;
    this.#crashes = new NewsSharing({
      clock,
      gatherMs: BATCH_INTERVAL_MS,
      links,
      all: () => crashes.all(),
      merge: (batch) => ({
        records: batch.flatMap((update) => update.records),
        acquittals: batch.flatMap((update) => update.acquittals),
      }),
      encode: (update) =>
        update.records.length + update.acquittals.length > 0
          ? encodeCrashes(update, clock.now())
          : undefined,
    });
    this.#limits = new NewsSharing({
      clock,
      gatherMs: LIMIT_BATCH_INTERVAL_MS,
      links,
      all: () => limits.all(),
      merge: (batch) => latestByReplica(batch.flat()),
      encode: (records) =>
        records.length > 0 ? encodeLimits(records, clock.now()) : undefined,
    });
    this.#leaving = new NewsSharing<readonly string[]>({
      clock,
      gatherMs: BATCH_INTERVAL_MS,
      links,
      all: () => leaving.all(),
      merge: (batch) => batch.flat(),
      encode: (incarnations) =>
        incarnations.length > 0 ? { type: "leaving", incarnations } : undefined,
    });
    crashes.listen((update, from) => this.#crashes.share(update, from));
    limits.listen((records, from) => this.#limits.share(records, from));
    leaving.listen((incarnations, from) =>
      this.#leaving.share(incarnations, from)
    );
  }

  greet(link: Link): void {
    this.#crashes.greet(link);
    this.#limits.greet(link);
    this.#leaving.greet(link);
  }

  take(link: Link, message: UpdateMessage): void {
    const { clock, crashes, limits, leaving } = this.#options;
    const now = clock.now();
    switch (message.type) {
      case "crashes":
        return crashes.take(decodeCrashes(message, now), link);
      case "limits":
        return limits.take(decodeLimits(message, now), link);
      case "leaving":
        return leaving.take(message.incarnations, link);
    }
  }
}

/** Keeps the last record of each replica. */
function latestByReplica(records: readonly LimitRecord[]): LimitRecord[] {
  return [
    ...new Map(records.map((record) => [record.incarnation, record])).values(),
  ];
}
