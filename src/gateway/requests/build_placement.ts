/** Builds placements from the resources that were acquired for them. */
import type { Milliseconds } from "../../util/units.ts";
import type { SendPermit } from "../limits/replica_limits.ts";
import type { PlainAdvice } from "../planning/assignment.ts";
import { CallMode } from "../port.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Placement } from "./placement.ts";
import type { Export } from "./prefill.ts";
import type { Reservation } from "./reservations.ts";

/** The placement of a request at a plain service. */
export function buildPlainPlacement(
  replica: Replica,
  { permit, waitMs, advice }: {
    readonly permit: SendPermit;
    readonly waitMs: Milliseconds;
    readonly advice: PlainAdvice;
  },
): Placement {
  const headers = { mode: CallMode.whole, replica: replica.entry.id };
  return {
    replica,
    permit,
    tokens: 0,
    waitMs: Math.round(waitMs),
    headers,
    advice,
  };
}

/** What {@link buildEnginePlacement} needs besides the reservation. */
export type EngineResources = {
  readonly permit: SendPermit;
  /** Time spent waiting for memory. */
  readonly waitMs: Milliseconds;
  readonly prefillMs: Milliseconds;
  /** The finished prefill; undefined: the decode replica does it. */
  readonly exported: Export | undefined;
  readonly priority: number;
};

/** The placement of a request at a decode replica. */
export function buildEnginePlacement(
  { replica, id, tokens }: Reservation,
  { permit, waitMs, prefillMs, exported, priority }: EngineResources,
): Placement {
  const address = exported?.replica.entry.address ?? "";
  return {
    replica,
    permit,
    tokens,
    waitMs: Math.round(waitMs),
    prefillMs: Math.round(prefillMs),
    ...(exported ? { export: exported } : {}),
    headers: {
      mode: CallMode.whole,
      replica: replica.entry.id,
      priority,
      reservation: id,
      ...(exported ? { export: { address, id: exported.id } } : {}),
    },
  };
}
