/**
 * Replica state that hosts exchange in addition to the store's listing:
 * crashes, rate limits and draining replicas.
 */
import * as z from "zod";
import type { Clock } from "../clock.ts";
import {
  type CrashesMessage,
  CrashesSchema,
  decodeCrashes,
  encodeCrashes,
  splitUpdate,
} from "../crashes/crash_messages.ts";
import type { CrashWatch } from "../crashes/crash_watch.ts";
import type { CrashUpdate } from "../crashes/model.ts";
import {
  decodeLimits,
  encodeLimits,
  type LimitsMessage,
  LimitsSchema,
} from "../limits/limit_messages.ts";
import type { LimitRecord } from "../limits/model.ts";
import type { ReplicaLimits } from "../limits/replica_limits.ts";
import type { Link } from "../peers/link.ts";
import { UpdateBroadcaster } from "../peers/update_broadcaster.ts";
import type { DrainingReplicas } from "../replicas/draining_replicas.ts";

/** Limits the messages per link when many replicas crash or drain at once. */
const BATCH_INTERVAL_MS = 20;
/** A replica may report a different limit in each response. */
const LIMIT_BATCH_INTERVAL_MS = 100;

/** Replicas that are draining; a replica never cancels draining. */
const DrainingSchema = z.object({
  type: z.literal("leaving"),
  incarnations: z.array(z.string()).readonly(),
});

/** An update message. */
export type UpdateMessage =
  | CrashesMessage
  | LimitsMessage
  | z.output<typeof DrainingSchema>;
/** Schemas of the update messages. */
export const UPDATE_SCHEMAS = [
  CrashesSchema,
  LimitsSchema,
  DrainingSchema,
] as const;

/** Exchanges updates over links. */
export type UpdateExchange = {
  /** Sends all known state over a link that has just opened. */
  sendAll(link: Link): void;
  /** Handles an update that was received over a link. */
  receive(link: Link, message: UpdateMessage): void;
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
  readonly draining: DrainingReplicas;
  /** The open links. */
  readonly links: () => readonly Link[];
};

/** Sends the updates of one host, and applies and forwards received ones. */
export class FleetUpdates implements UpdateExchange {
  readonly #options: FleetUpdatesOptions;
  readonly #crashes: UpdateBroadcaster<CrashUpdate>;
  readonly #limits: UpdateBroadcaster<readonly LimitRecord[]>;
  readonly #draining: UpdateBroadcaster<readonly string[]>;

  constructor(options: FleetUpdatesOptions) {
    const { clock, crashes, limits, draining, links } = options;
    this.#options = options;
    this.#crashes = new UpdateBroadcaster({
      clock,
      batchMs: BATCH_INTERVAL_MS,
      links,
      all: () => crashes.all(),
      merge: (batch) => ({
        records: batch.flatMap((update) => update.records),
        clearances: batch.flatMap((update) => update.clearances),
      }),
      encode: (update) =>
        splitUpdate(update).map((part) => encodeCrashes(part, clock.now())),
    });
    this.#limits = new UpdateBroadcaster({
      clock,
      batchMs: LIMIT_BATCH_INTERVAL_MS,
      links,
      all: () => limits.all(),
      merge: (batch) => latestByReplica(batch.flat()),
      encode: (records) =>
        records.length > 0 ? [encodeLimits(records, clock.now())] : [],
    });
    this.#draining = new UpdateBroadcaster<readonly string[]>({
      clock,
      batchMs: BATCH_INTERVAL_MS,
      links,
      all: () => draining.all(),
      merge: (batch) => batch.flat(),
      encode: (incarnations) =>
        incarnations.length > 0 ? [{ type: "leaving", incarnations }] : [],
    });
    crashes.listen((update, from) => this.#crashes.broadcast(update, from));
    limits.listen((records, from) => this.#limits.broadcast(records, from));
    draining.listen((incarnations, from) =>
      this.#draining.broadcast(incarnations, from)
    );
  }

  sendAll(link: Link): void {
    this.#crashes.sendAll(link);
    this.#limits.sendAll(link);
    this.#draining.sendAll(link);
  }

  receive(link: Link, message: UpdateMessage): void {
    const { clock, crashes, limits, draining } = this.#options;
    const now = clock.now();
    switch (message.type) {
      case "crashes":
        return crashes.merge(decodeCrashes(message, now), link);
      case "limits":
        return limits.receive(decodeLimits(message, now), link);
      case "leaving":
        return draining.receive(message.incarnations, link);
    }
  }
}

/** Returns the last record of each replica. */
function latestByReplica(records: readonly LimitRecord[]): LimitRecord[] {
  return [
    ...new Map(records.map((record) => [record.incarnation, record])).values(),
  ];
}
