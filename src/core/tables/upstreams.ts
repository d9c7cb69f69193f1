/** Upstreams: what the host list, their reports and their events say. */
import type { LoadReport } from "../events.ts";
import type { LineFit } from "../../util/line_fit.ts";
import type {
  HallId,
  PoolId,
  RegionId,
  ServiceId,
  UpstreamId,
} from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/** What an upstream does. */
export const Role = {
  prefill: "prefill",
  decode: "decode",
  plain: "plain",
} as const;
/** One of the values of {@link Role}. */
export type Role = typeof Role[keyof typeof Role];

/** One model engine or plain service. */
export type Upstream = {
  readonly id: UpstreamId;
  readonly hall: HallId;
  readonly region: RegionId;
  readonly service: ServiceId;
  /** The pool that it is in. */
  pool: PoolId;
  /** What the host list says that it does; a report may say otherwise. */
  readonly listedRole: Role;
  role: Role;
  address: string;
  /** It refuses orders with a lower fence than it has seen. */
  checksOrders: boolean;
  /** The host list says that it is leaving. */
  leaving: boolean;
  /** Decode requests at once, from the list, until a report says better. */
  slots: number;
  /** Prefill tokens a second, from the list, until a report says better. */
  prefillRate: number;
  /** Prefix cache size in tokens. */
  cacheTokens: number;
  report?: LoadReport;
  reportedAt: Milliseconds;
  /** Fit of step time over running requests. */
  step: LineFit;
  /** Prefix blocks thought to be cached, oldest first. */
  readonly prefixes: Map<number, Milliseconds>;
  /** Sequence number of the last cache event read. */
  cacheSequence: number;
  /** Share of the index's claims that is believed: falls on a gap. */
  cacheTrust: number;
  /** When this host last asked for a report, and since when it does so. */
  polledAt: Milliseconds;
  pollingSince: Milliseconds;
  nextLoadAt: Milliseconds;
  nextCacheAt: Milliseconds;
  nextSweepAt: Milliseconds;
};
