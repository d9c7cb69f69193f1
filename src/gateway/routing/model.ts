/** Routes, services and limits of the configuration. */
import type { Milliseconds } from "../../util/units.ts";
import type { Customer } from "../customers/model.ts";

/** How often a route's requests may run. */
export const RouteKind = {
  /** May run more than once. */
  safe: "safe",
  /** Runs at most once. */
  unsafe: "unsafe",
  /** A stream of events; runs at most once unless it is resumable. */
  streaming: "streaming",
} as const;
/** One of the values of {@link RouteKind}. */
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** A service that receives a share of a route's requests. */
export type Target = { readonly service: string; readonly weight: number };

/** The destination of requests with a host name and path prefix. */
export type Route = {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Timeout of a request. */
  readonly timeoutMs: Milliseconds;
  /** A response (a stream's first event) within this time is on time. */
  readonly objectiveMs: Milliseconds;
  /** Longest interval between a stream's events that is on time. */
  readonly gapMs: Milliseconds;
  /** Callers abandon a stream after this time without an event. */
  readonly silenceMs: Milliseconds;
  /** Maximum number of replicas that a request may be sent to. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly Target[];
  /** An interrupted stream may be resumed at another replica. */
  readonly resumable: boolean;
  /** Its requests need no customer's key. */
  readonly anonymous: boolean;
};

/** Capabilities of the model engines of a service. */
export type Engine = {
  readonly slots: number;
  /** Memory of one replica, in tokens. */
  readonly cacheTokens: number;
  /** Retention of a finished prefill's KV cache (export) for its decode. */
  readonly exportMs: Milliseconds;
  /** Longest time that memory can be reserved. */
  readonly reservationMs: Milliseconds;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Duration of a change of stage. */
  readonly switchMs: Milliseconds;
};

/** A group of replicas that do the same work. */
export type Service = {
  readonly name: string;
  /** Connections that one replica accepts from all callers together. */
  readonly connectionLimit: number;
  /** Path of its replicas' health checks; absent if they have none. */
  readonly healthPath?: string;
  /** Absent for a service that runs no model. */
  readonly engine?: Engine;
};

/** Limits on the requests and connections of callers. */
export type CallerLimits = {
  readonly bodyBytes: number;
  /** Absent: the usual limit of a host. */
  readonly headBytes?: number;
  readonly headerMs: Milliseconds;
  readonly idleMs: Milliseconds;
};

/** One version of all routes, services and limits. */
export type RouteConfig = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent: the deployment requires no keys. */
  readonly customers?: readonly Customer[];
};

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: Route): boolean {
  if (route.kind === RouteKind.safe) return true;
  return route.kind === RouteKind.streaming && route.resumable;
}
