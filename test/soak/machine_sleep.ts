/** A machine that sleeps: nothing runs, and its steady clock stands still. */
import type { BusyStop } from "./busy_stop.ts";
import type { PathCut } from "./replica_path.ts";

/** What the soak sends to a gateway process. */
export type HostMessage =
  | { readonly type: "cutPaths"; readonly cut: PathCut }
  /** Ports of other hosts to which no path is left. */
  | { readonly type: "cutPeers"; readonly ports: readonly number[] }
  | { readonly type: "sleep"; readonly forMs: number }
  | BusyStop;

const steadyNow = performance.now.bind(performance);
let sleptMs = 0;

/** Blocks this process; the time of day goes on, `performance.now` does not. */
export function sleepMachine(forMs: number): void {
  const startedAt = steadyNow();
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
  sleptMs += steadyNow() - startedAt;
  performance.now = () => steadyNow() - sleptMs;
}
