/** Routes, services and limits that the operator puts in force. */
import type { Milliseconds } from "../../util/units.ts";
import type { Customer } from "../customers/model.ts";

/** What may be repeated of a route's requests. */
export const RouteKind = {
  /** May run more than once. */
  safe: "safe",
  /** Runs at most once. */
  unsafe: "unsafe",
  /** A series of events; runs at most once unless it may be resumed. */
  streaming: "streaming",
} as const;
/** One of the values of {@link RouteKind}. */
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** A service that takes a share of a route's requests. */
export type Target = { readonly service: string; readonly weight: number };

/** Where requests under one host name and path prefix go. */
export type Route = {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is held. */
  readonly timeoutMs: Milliseconds;
  /** An answer (a stream's first event) by then is on time. */
  readonly objectiveMs: Milliseconds;
  /** Longest pause between events that is on time. */
  readonly gapMs: Milliseconds;
  /** Callers give a stream up after so long without an event. */
  readonly silenceMs: Milliseconds;
  /** Most replicas that one request may be sent to. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly Target[];
  /** A broken stream may go on at another replica. */
  readonly resumable: boolean;
  /** Its requests need no customer's key. */
  readonly anonymous: boolean;
};

/** What the model engines of a service can do. */
export type Engine = {
  readonly slots: number;
  /** Memory of one replica, in tokens. */
  readonly cacheTokens: number;
  /** How long a finished prefill is kept for its decode. */
  readonly exportMs: Milliseconds;
  /** Longest time that memory can be reserved. */
  readonly reservationMs: Milliseconds;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** How long a change of stage takes. */
  readonly switchMs: Milliseconds;
};

/** A group of replicas that do the same work. */
export type Service = {
  readonly name: string;
  /** Connections that one replica takes from all callers together. */
  readonly connectionLimit: number;
  /** Absent for a service that runs no model. */
  readonly engine?: Engine;
};

/** What a caller may send, and for how long. */
export type CallerLimits = {
  readonly bodyBytes: number;
  readonly headerMs: Milliseconds;
  readonly idleMs: Milliseconds;
};

/** One version of all routes, services and limits. */
export type RouteConfig = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent: the deployment asks for no keys. */
  readonly customers?: readonly Customer[];
};

/** Whether a request of the route may run more than once. */
export function repeatable(route: Route): boolean {
  if (route.kind === RouteKind.safe) return true;
  return route.kind === RouteKind.streaming && route.resumable;
}
