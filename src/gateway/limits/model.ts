/** Limits that replicas name on the rate of requests they take. */
import type { Milliseconds } from "../../util/units.ts";

/** What the head of an answer says of its replica's limit. */
export type LimitHeader =
  | { readonly type: "none" }
  /** Requests a second that the replica takes from all hosts together. */
  | { readonly type: "limit"; readonly perSecond: number }
  /** There is one, but it is no number. */
  | { readonly type: "unreadable"; readonly text: string };

/** What became known of a replica's limit. */
export type LimitRecord = {
  /** The replica, by its incarnation. */
  readonly incarnation: string;
  /** Requests a second from all hosts together; absent: no limit any more. */
  readonly perSecond?: number;
  /** When an answer said so, by this host's clock. */
  readonly at: Milliseconds;
};
