/** What hosts tell each other of replicas besides the store's listing. */
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

/** Bounds the messages over a link when replicas crash or leave by the dozen. */
const GATHER_MS = 20;
/** A replica may name another limit in each answer: this bounds what a relay tells. */
const LIMIT_GATHER_MS = 100;

/** Replicas that leave; a replica never stays once it said so. */
const LeavingSchema = z.object({
  type: z.literal("leaving"),
  incarnations: z.array(z.string()).readonly(),
});

/** A message of news. */
export type NewsMessage =
  | CrashesMessage
  | LimitsMessage
  | z.output<typeof LeavingSchema>;
/** Reads the messages of news. */
export const NEWS_SCHEMAS = [
  CrashesSchema,
  LimitsSchema,
  LeavingSchema,
] as const;

/** Tells and takes news over links. */
export type News = {
  /** A link stands: its other end is told all that is known. */
  greet(link: Link): void;
  /** Takes what the other end of a link tells. */
  take(link: Link, message: NewsMessage): void;
};

/** Whether a message is news. */
export function isNews(
  message: { readonly type: string },
): message is NewsMessage {
  const { type } = message;
  return type === "crashes" || type === "limits" || type === "leaving";
}

/** What news is told of, and over what. */
export type FleetNewsSource = {
  readonly clock: Clock;
  readonly crashes: CrashWatch;
  readonly limits: ReplicaLimits;
  readonly leaving: LeavingReplicas;
  /** The links that stand. */
  readonly links: () => readonly Link[];
};

/** The news of one host. */
export class FleetNews implements News {
  readonly #source: FleetNewsSource;
  readonly #crashes: NewsSharing<CrashNews>;
  readonly #limits: NewsSharing<readonly LimitRecord[]>;
  readonly #leaving: NewsSharing<readonly string[]>;

  constructor(source: FleetNewsSource) {
    const { clock, crashes, limits, leaving, links } = source;
    this.#source = source;
    this.#crashes = new NewsSharing({
      clock,
      gatherMs: GATHER_MS,
      links,
      all: () => crashes.all(),
      merge: (several) => ({
        records: several.flatMap((one) => one.records),
        acquittals: several.flatMap((one) => one.acquittals),
      }),
      encode: (news) =>
        news.records.length + news.acquittals.length > 0
          ? encodeCrashes(news, clock.now())
          : undefined,
    });
    this.#limits = new NewsSharing({
      clock,
      gatherMs: LIMIT_GATHER_MS,
      links,
      all: () => limits.all(),
      merge: (several) => newestOf(several.flat()),
      encode: (news) =>
        news.length > 0 ? encodeLimits(news, clock.now()) : undefined,
    });
    this.#leaving = new NewsSharing<readonly string[]>({
      clock,
      gatherMs: GATHER_MS,
      links,
      all: () => leaving.all(),
      merge: (several) => several.flat(),
      encode: (incarnations) =>
        incarnations.length > 0 ? { type: "leaving", incarnations } : undefined,
    });
    crashes.listen((news, from) => this.#crashes.share(news, from));
    limits.listen((news, from) => this.#limits.share(news, from));
    leaving.listen((news, from) => this.#leaving.share(news, from));
  }

  greet(link: Link): void {
    this.#crashes.greet(link);
    this.#limits.greet(link);
    this.#leaving.greet(link);
  }

  take(link: Link, message: NewsMessage): void {
    const { clock, crashes, limits, leaving } = this.#source;
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

/** The last record of each replica. */
function newestOf(records: readonly LimitRecord[]): LimitRecord[] {
  return [...new Map(records.map((one) => [one.incarnation, one])).values()];
}
