/** What a response's headers report about the replica. */
import type { Milliseconds } from "../../util/units.ts";
import type { LimitHeader } from "../limits/model.ts";

/** Whether a response requests a backoff from this host. */
export type BackoffHeader =
  | { readonly type: "none" }
  | { readonly type: "backoff"; readonly forMs: Milliseconds }
  /** The header's duration can't be parsed. */
  | { readonly type: "unreadable"; readonly text: string };

/** What a response reports about its replica, whatever its status. */
export type ReplicaNotice = {
  /** The replica is draining: it accepts no new requests. */
  readonly leaving: boolean;
  /**
   * The replica requests a backoff from this host; other hosts may continue.
   */
  readonly backoff: BackoffHeader;
  /** The rate limit that the replica names. */
  readonly limit: LimitHeader;
};
