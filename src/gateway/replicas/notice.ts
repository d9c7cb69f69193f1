/** What the head of an answer says of the replica that made it. */
import type { Milliseconds } from "../../util/units.ts";
import type { LimitHeader } from "../limits/model.ts";

/** Whether an answer asks this host to send its replica nothing for a time. */
export type BackoffHeader =
  | { readonly type: "none" }
  | { readonly type: "backoff"; readonly forMs: Milliseconds }
  /** It names a time that can't be read. */
  | { readonly type: "unreadable"; readonly text: string };

/** What an answer says of its replica, whatever it answers. */
export type ReplicaNotice = {
  /** It takes no new work from now on. */
  readonly leaving: boolean;
  /** It wants nothing from this host for a time; others may go on. */
  readonly backoff: BackoffHeader;
  /** It limits the rate of its requests. */
  readonly limit: LimitHeader;
};
