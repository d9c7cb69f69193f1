/**
 * Sends that ended without a complete response, and which of them may have
 * broken by a crash of their replica.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Fingerprints } from "./fingerprint.ts";

/**
 * A refused connection explains only sends that broke within this time before
 * it. It covers a probe and its repetition for sends that broke meanwhile.
 */
const REFUSED_WINDOW_MS = 1000;
/**
 * A removal from the listing explains only sends that broke within this time
 * before it. It covers three missed heartbeats and the next read of the
 * listing.
 */
const REMOVED_WINDOW_MS = 6000;
/**
 * Maximum number of replicas with stored broken sends, and of sends of each.
 */
const MAX_REPLICAS = 300;
const MAX_BROKEN_SENDS = 100;

/** How a crash was detected. */
export type CrashSign = "refused" | "gone" | "told";

/** How a send ended without a complete response. */
export type BrokenSendDetails = {
  readonly fingerprints: Fingerprints;
  readonly sentAt: Milliseconds;
  /** Whether the replica's side ended it; otherwise this host timed out. */
  readonly endedByReplica: boolean;
};

/** A send that may have broken by a crash. */
export type CrashedSend = {
  /** Of the request. */
  readonly fingerprint: string;
  /** The fingerprint of its service. */
  readonly service: string;
  /** The fingerprints of the shared parts of its prompt. */
  readonly parts: readonly string[];
  readonly at: Milliseconds;
  /** Time since it was sent. */
  readonly ranMs: Milliseconds;
  /** Number of replicas of the same service and stage. */
  readonly replicas: number;
};

/** A send that ended without a complete response. */
type BrokenSend = CrashedSend & {
  readonly endedByReplica: boolean;
  /** Whether a later probe found the replica listening. */
  hasListened: boolean;
};

/** The state of one incarnation of a replica. */
type WatchedReplica = {
  brokenSends: BrokenSend[];
  /** When the crash was detected. */
  crashedAt: Milliseconds | undefined;
};

/** The broken sends of all replicas, by incarnation. */
export class BrokenSends {
  readonly #watched = new Map<string, WatchedReplica>();

  /** Records a send that broke at `now`; false: there is no room for it. */
  add(
    incarnation: string,
    { fingerprints, sentAt, endedByReplica, replicas, now }:
      & BrokenSendDetails
      & {
        readonly replicas: number;
        readonly now: Milliseconds;
      },
  ): boolean {
    const watched = this.#watchedOf(incarnation);
    removeBefore(watched, now - REMOVED_WINDOW_MS);
    if (watched.brokenSends.length >= MAX_BROKEN_SENDS) return false;
    watched.brokenSends.push({
      fingerprint: fingerprints.request(),
      service: fingerprints.service(),
      parts: fingerprints.parts(),
      at: now,
      ranMs: now - sentAt,
      replicas,
      endedByReplica,
      hasListened: false,
    });
    return true;
  }

  /** The replicas at which the request broke. */
  replicasOf(fingerprint: string): readonly string[] {
    return [...this.#watched]
      .filter(([, { brokenSends }]) =>
        brokenSends.some((send) => send.fingerprint === fingerprint)
      )
      .map(([incarnation]) => incarnation);
  }

  /** Whether a crash of the replica explains sends that break now. */
  hasJustCrashed(incarnation: string, now: Milliseconds): boolean {
    const crashedAt = this.#watched.get(incarnation)?.crashedAt ?? -Infinity;
    return now - crashedAt <= REFUSED_WINDOW_MS;
  }

  /** Whether a crash may be why the replica was removed at `now`. */
  mayHaveCrashed(incarnation: string, now: Milliseconds): boolean {
    const brokenSends = this.#watched.get(incarnation)?.brokenSends ?? [];
    return brokenSends.some((send) => mayHaveRunAtCrash(send, "gone", now));
  }

  /**
   * Records that the replica listened after `probedAt`. Returns whether sends
   * have broken since then that another probe may explain.
   */
  noteListening(incarnation: string, probedAt: Milliseconds): boolean {
    const brokenSends = this.#watched.get(incarnation)?.brokenSends ?? [];
    for (const send of brokenSends) {
      if (send.at <= probedAt) send.hasListened = true;
    }
    return brokenSends.some((send) => isUnexplained(send));
  }

  /**
   * Records a crash of the replica. Returns the sends that may have broken by
   * it, and forgets the sends of the replica if there are any.
   */
  takeCrashed(
    incarnation: string,
    { sign, now }: { readonly sign: CrashSign; readonly now: Milliseconds },
  ): readonly CrashedSend[] {
    const watched = this.#watched.get(incarnation);
    if (!watched) return [];
    watched.crashedAt = now;
    const ran = watched.brokenSends.filter((send) =>
      mayHaveRunAtCrash(send, sign, now)
    );
    if (ran.length > 0) watched.brokenSends = [];
    return ran;
  }

  /** Forgets a replica that is no longer listed. */
  removeReplica(incarnation: string): void {
    this.#watched.delete(incarnation);
  }

  #watchedOf(incarnation: string): WatchedReplica {
    const known = this.#watched.get(incarnation);
    if (known) return known;
    evictOldest(this.#watched, MAX_REPLICAS - 1);
    const watched = { brokenSends: [], crashedAt: undefined };
    this.#watched.set(incarnation, watched);
    return watched;
  }
}

/**
 * Whether the replica's side ended the send and no probe found it listening.
 */
function isUnexplained(
  { endedByReplica, hasListened }: BrokenSend,
): boolean {
  return endedByReplica && !hasListened;
}

/** Whether the send may have broken by the detected crash. */
function mayHaveRunAtCrash(
  send: BrokenSend,
  sign: CrashSign,
  now: Milliseconds,
): boolean {
  if (sign === "gone") return now - send.at <= REMOVED_WINDOW_MS;
  return isUnexplained(send) && now - send.at <= REFUSED_WINDOW_MS;
}

function removeBefore(watched: WatchedReplica, oldest: Milliseconds): void {
  watched.brokenSends = watched.brokenSends.filter((send) => send.at > oldest);
}
