/** Rate limits that a test lets replicas report. */
import type { ReplicaStandin } from "../platform/replica_standin.ts";

/** A period in which a replica reported a limit. */
export type LimitInterval = {
  readonly replica: string;
  /** As sent in responses; may not be a number. */
  readonly text: string;
  readonly fromMs: number;
  toMs: number;
};

/** Sets limits and records when they applied. */
export class ReplicaLimits {
  readonly intervals: LimitInterval[] = [];

  /**
   * Sets a replica's limit; the result ends it unless another one has replaced
   * it.
   */
  start(standin: ReplicaStandin, text: string): () => void {
    this.end(standin.id);
    standin.limit = text;
    const fromMs = performance.now();
    const interval = { replica: standin.id, text, fromMs, toMs: Infinity };
    this.intervals.push(interval);
    return () => {
      if (interval.toMs !== Infinity) return;
      standin.limit = undefined;
      this.end(standin.id);
    };
  }

  /** Records the end of a replica's limit, if it has one. */
  end(replica: string): void {
    const current = this.intervals.find((interval) =>
      interval.replica === replica && interval.toMs === Infinity
    );
    if (current) current.toMs = performance.now();
  }
}
