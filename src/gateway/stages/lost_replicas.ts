/**
 * Remembers replicas that were lost a short time ago: those that crashed or were
 * unreachable have usually recovered within seconds, so that the split should
 * not follow their loss.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";

/** How long a lost replica is expected to return. */
const RETURN_MS = 8000;

type KnownReplica = {
  readonly entry: ReplicaEntry;
  /** When it was last listed. */
  readonly seenAt: Milliseconds;
};

/** Replicas of one service that may return. */
export class LostReplicas {
  readonly #known = new Map<string, KnownReplica>();

  /** Replicas that are no longer present and are expected to return. */
  update(
    present: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry[] {
    const presentIds = new Set(present.map((entry) => entry.id));
    for (const entry of present) {
      this.#known.set(entry.id, { entry, seenAt: now });
    }
    const lost: ReplicaEntry[] = [];
    for (const [id, { entry, seenAt }] of this.#known) {
      if (presentIds.has(id)) continue;
      if (now - seenAt > RETURN_MS) this.#known.delete(id);
      else lost.push(entry);
    }
    return lost;
  }
}

/** Whether a hall has lost all of its replicas, as when it is cut off. */
export function isHallLost(
  present: readonly ReplicaEntry[],
  lost: readonly ReplicaEntry[],
): boolean {
  const halls = new Set(present.map((entry) => entry.hall));
  return lost.some((entry) => !halls.has(entry.hall));
}
