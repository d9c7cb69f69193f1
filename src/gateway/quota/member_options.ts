/** What a quota member is created with, and what it tells its callers. */
import type { HallId, HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Link, LinkEvents, LinkPath, LinkTarget } from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import type { QuotaDecision } from "./ledger.ts";
import type { QuotaOwner } from "./owner.ts";

/** Outcome of a request for units; unknown if no owner responded. */
export type QuotaOutcome =
  | Extract<QuotaDecision, { type: "refused" }>
  | { readonly type: "unknown" }
  | {
    readonly type: "granted";
    /** Delay before the units may be used. */
    readonly afterMs: Milliseconds;
    /** Returns units that were not used. */
    release(): void;
  };

/** Options of {@link QuotaMember}. */
export type QuotaMemberOptions = {
  readonly self: { readonly id: HostId; readonly hall: HallId };
  readonly clock: Clock;
  /** The owner in this process. */
  readonly localOwner: QuotaOwner;
  /** The other hosts; the same array as long as none changes. */
  readonly hosts: () => readonly HostEntry[];
  /** Time for which acquisitions are retained, to report them to new owners. */
  readonly retentionMs: () => Milliseconds;
  /** Path of the links to owners. */
  readonly path: LinkPath;
  /** Called when the link to a connected owner has closed. */
  readonly noteLost: (owner: HostId) => void;
  /** Opens a link to an owner. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
};
