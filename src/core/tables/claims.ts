/** Claims of requests that may not be repeated, and calls of the platform. */
import type { RequestId } from "../request_ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/** How far a claim is. */
export const ClaimState = {
  waiting: "waiting",
  writing: "writing",
  reading: "reading",
  /** Being removed: it was given up before anything was sent. */
  voiding: "voiding",
} as const;
/** One of the values of {@link ClaimState}. */
export type ClaimState = typeof ClaimState[keyof typeof ClaimState];

/** One claim. */
export type Claim = {
  readonly row: string;
  readonly request: RequestId;
  readonly askedAt: Milliseconds;
  state: ClaimState;
  /** A write of it may have taken effect. */
  written: boolean;
  nextAt: Milliseconds;
};

/** What a platform call was for. */
export type TableCall = {
  readonly purpose:
    | "claim"
    | "claimRead"
    | "void"
    | "settings"
    | "lease"
    | "leaseRead"
    | "leaseReturn";
  readonly startedAt: Milliseconds;
  readonly rows: readonly string[];
};
