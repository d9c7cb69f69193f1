/** Finds out whether the process of a replica runs, as far as it tells. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { ProbeResult } from "../upstreams/probe.ts";
import type { StartFinding } from "../upstreams/start_check.ts";

/**
 * Delay of a probe. Responses of one replica that end meanwhile share it, and a
 * process that is ending has closed its listening socket by then.
 */
const PROBE_DELAY_MS: Milliseconds = 20;

/** What was found out about a replica. */
export type ReplicaFinding =
  /** The process runs that is listed. */
  | "asListed"
  /** The replica has started again. */
  | "other"
  /** Some process listens at its address. */
  | ProbeResult;

/** Options of {@link ReplicaProbe}. */
export type ReplicaProbeOptions = {
  readonly clock: Clock;
  /** Checks whether the replica listens, over any path. */
  readonly probe: (entry: ReplicaEntry) => Promise<ProbeResult>;
  /** Asks the replica for its start. */
  readonly findStart: (entry: ReplicaEntry) => Promise<StartFinding>;
};

/** Probes replicas, at most once per delay each. */
export class ReplicaProbe {
  readonly #options: ReplicaProbeOptions;
  /** Probes that have not started, by incarnation. */
  readonly #scheduled = new Map<string, Promise<ReplicaFinding>>();

  constructor(options: ReplicaProbeOptions) {
    this.#options = options;
  }

  /** Probes a replica after a delay, or shares a probe that waits for it. */
  find(entry: ReplicaEntry): Promise<ReplicaFinding> {
    const { incarnation } = entry;
    const probe = this.#scheduled.get(incarnation) ?? this.#schedule(entry);
    this.#scheduled.set(incarnation, probe);
    return probe;
  }

  #schedule(entry: ReplicaEntry): Promise<ReplicaFinding> {
    return new Promise((resolve, reject) => {
      this.#options.clock.after(PROBE_DELAY_MS, () => {
        this.#scheduled.delete(entry.incarnation);
        this.#find(entry).then(resolve, reject);
      });
    });
  }

  async #find(entry: ReplicaEntry): Promise<ReplicaFinding> {
    const { probe, findStart } = this.#options;
    const start = await findStart(entry);
    switch (start) {
      case "asListed":
      case "other":
        return start;
      case "notReported":
        return await probe(entry);
      case "silent": {
        const result = await probe(entry);
        // A process that listens may not be the one that is listed.
        return result === "listens" ? "silent" : result;
      }
    }
  }
}
