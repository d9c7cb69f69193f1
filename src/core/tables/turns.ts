/** Changes of an upstream's role, and the leases under which they are ordered. */
import type { ServiceId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Role } from "./upstreams.ts";

/** How far a change of role is. */
export const TurnPhase = {
  /** The upstream gets no new work and finishes what it has. */
  draining: "draining",
  /** The lease is being taken. */
  leasing: "leasing",
  /** The order is sent until the upstream confirms. */
  ordering: "ordering",
} as const;
/** One of the values of {@link TurnPhase}. */
export type TurnPhase = typeof TurnPhase[keyof typeof TurnPhase];

/** One upstream that changes from prefill to decode or back. */
export type Turn = {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  readonly role: Role;
  readonly since: Milliseconds;
  phase: TurnPhase;
  nextAt: Milliseconds;
};

/** How far the taking of a lease is. */
export const LeasePhase = {
  reading: "reading",
  /** Another's lease is watched until it must have ended. */
  watching: "watching",
  writing: "writing",
  held: "held",
} as const;
/** One of the values of {@link LeasePhase}. */
export type LeasePhase = typeof LeasePhase[keyof typeof LeasePhase];

/** The lease of a service, as this host sees it. */
export type Lease = {
  readonly service: ServiceId;
  phase: LeasePhase;
  /** The row's revision: once held, the fencing token. */
  revision: number;
  /** Since when the row has had this revision, as far as seen here. */
  seenAt: Milliseconds;
  /** When the write that took it was sent. */
  askedAt: Milliseconds;
  /** Another may have held it before. */
  foreign: boolean;
  nextAt: Milliseconds;
};

/** How busy the two sides of a service have been. */
export type Pressure = {
  /** Smoothed share of prefill upstreams that are busy. */
  prefill: number;
  /** Smoothed share of decode slots that are held. */
  decode: number;
  /** Since when one side has been short and the other not. */
  shortSince: Milliseconds | undefined;
  lastTurnAt: Milliseconds;
  nextAt: Milliseconds;
};
