/** Rate limits named by replicas. */
import type { Milliseconds } from "../../util/units.ts";

/** What a response's headers report about the replica's limit. */
export type LimitHeader =
  | { readonly type: "none" }
  /** Requests per second that the replica accepts from all hosts together. */
  | { readonly type: "limit"; readonly perSecond: number }
  /** The header isn't a valid number. */
  | { readonly type: "unreadable"; readonly text: string };

/** A change of a replica's limit. */
export type LimitRecord = {
  /** The incarnation of the replica. */
  readonly incarnation: string;
  /**
   * Requests per second, for all hosts together; absent when the limit ended.
   */
  readonly perSecond?: number;
  /**
   * When a host received the response that reported it, by this host's clock.
   */
  readonly at: Milliseconds;
};
