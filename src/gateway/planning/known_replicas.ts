/** The replicas that a planner has compared, and the times expected there. */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import {
  INITIAL_TIMES,
  type ReplicaTimes,
  type ServiceRates,
} from "./service_rates.ts";

const MAX_REPLICAS = 3000;

type KnownReplica = {
  readonly entry: ReplicaEntry;
  readonly times: ReplicaTimes;
};

/** Replicas by incarnation. */
export class KnownReplicas {
  readonly #replicas = new Map<string, KnownReplica>();

  /** The listed replica. */
  get(incarnation: string): ReplicaEntry | undefined {
    return this.#replicas.get(incarnation)?.entry;
  }

  /** The times that were expected when it was last compared. */
  timesOf(incarnation: string): ReplicaTimes {
    return this.#replicas.get(incarnation)?.times ?? INITIAL_TIMES;
  }

  /** All replicas. */
  entries(): readonly ReplicaEntry[] {
    return [...this.#replicas.values()].map(({ entry }) => entry);
  }

  /** Records the replicas of a service and their expected times. */
  note(
    pool: readonly ReplicaEntry[],
    rates: ServiceRates,
    now: Milliseconds,
  ): void {
    for (const entry of pool) {
      const { incarnation } = entry;
      const times = rates.timesOf(incarnation, now);
      this.#replicas.delete(incarnation);
      this.#replicas.set(incarnation, { entry, times });
    }
    evictOldest(this.#replicas, MAX_REPLICAS);
  }
}
