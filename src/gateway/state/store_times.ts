/** Backoffs and timeouts of calls to the store; pure. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaTable } from "../replicas/replica_table.ts";

/** Intervals and timeouts of the loops. */
export type StoreTimes = {
  /** Interval between two listings of replicas. */
  readonly listMs: Milliseconds;
  /** Timeout of a call to the store. */
  readonly timeoutMs: Milliseconds;
  /** Time after which the store ends a watch without changes. */
  readonly watchMs: Milliseconds;
};

/**
 * Initial and maximum backoff of a follower while the store is unavailable. The
 * reader retries faster and reports when the store is available again, so that
 * a follower's calls only matter while the store rejects the reader but not
 * this host.
 */
const FOLLOWER_BACKOFF_MS = 900;
const MAX_FOLLOWER_BACKOFF_MS = 3600;
/** Random share of a backoff, which keeps hosts from calling in lockstep. */
const BACKOFF_JITTER = 0.4;

/** Replicas per response of the store. */
const REPLICAS_PER_RESPONSE = 500;
/**
 * Replicas that the timeout of the first listing allows for. On a link of
 * 7 Mbit/s, listing 1,000 takes over half a second, and all hosts of a fleet that
 * starts list them at the same time.
 */
const FIRST_LIST_SIZE = 2000;

/** The delay of a follower after a number of consecutive failed listings. */
export function followerBackoffMs(
  failures: number,
  random: () => number,
): Milliseconds {
  const doublings = Math.min(8, Math.max(0, failures - 1));
  const backoffMs = FOLLOWER_BACKOFF_MS * 2 ** doublings;
  const spread = 1 + random() * BACKOFF_JITTER;
  return Math.min(MAX_FOLLOWER_BACKOFF_MS, backoffMs) * spread;
}

/**
 * The timeout of a listing: a long one takes several responses, each with the
 * timeout of a call.
 */
export function listTimeoutMs(
  { revision, size: known }: Pick<ReplicaTable, "revision" | "size">,
  callTimeoutMs: Milliseconds,
): Milliseconds {
  const size = revision < 0 ? FIRST_LIST_SIZE : known;
  return callTimeoutMs * Math.ceil((size + 1) / REPLICAS_PER_RESPONSE);
}
