/** Which faults strike when, drawn from a seed; pure. */
import { xoroshiro128plus } from "pure-rand";
import { draw } from "../../src/core/util/chance.ts";

/** What can strike. */
export const FaultKind = {
  kill: "kill",
  stop: "stop",
  pause: "pause",
  reload: "reload",
  storeDown: "store down",
  storeSilent: "store silent",
  storeSlow: "store slow",
  storeLost: "store loses answers",
  storeForgets: "store forgets history",
  storeLapse: "store down, entries lapse",
  storePathSilent: "path to the store silent",
  storePathOneWay: "path to the store silent one way",
  storePathReset: "path to the store reset",
  peerPathSilent: "path to a peer silent",
  peerPathSlow: "path to a peer slow",
  peerPathReset: "path to a peer reset",
  replicaPathSilent: "path to a replica silent one way",
  replicaPathSlow: "path to a replica slow",
  replicaPathReset: "path to a replica reset",
  replicaCrash: "replica crash",
  replicaLeave: "replica leaves",
  config: "configuration",
} as const;
/** One of the values of {@link FaultKind}. */
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** One fault of a run. */
export type Fault = {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Picks whom it strikes: taken modulo the number of those that fit. */
  readonly target: number;
};

/** What a run of the soak does. */
export type Schedule = {
  readonly seed: number;
  readonly hosts: number;
  readonly callers: number;
  /** Nothing but planned work strikes. */
  readonly isCalm: boolean;
  readonly faults: readonly Fault[];
};

const CALM_KINDS: readonly FaultKind[] = [
  FaultKind.stop,
  FaultKind.stop,
  FaultKind.reload,
  FaultKind.config,
];
/** One seed in so many has planned work alone. */
const CALM_ONE_IN = 5;
const LEAST_HOSTS = 3;
const MORE_HOSTS = 5;
const LEAST_FAULTS = 6;
const MORE_FAULTS = 9;
const LEAST_MS = 300;
const MORE_MS = 3700;
const CALLERS_A_HOST = 3;

/** The schedule of a seed; faults strike within `spanMs`. */
export function scheduleOf(seed: number, spanMs: number): Schedule {
  const random = xoroshiro128plus(seed);
  const isCalm = draw(random, CALM_ONE_IN) === 0;
  const kinds = isCalm ? CALM_KINDS : Object.values(FaultKind);
  const hosts = LEAST_HOSTS + draw(random, MORE_HOSTS);
  const count = LEAST_FAULTS + draw(random, MORE_FAULTS);
  const faults = Array.from({ length: count }, () => ({
    kind: kinds[draw(random, kinds.length)] ?? FaultKind.config,
    atMs: draw(random, spanMs),
    forMs: LEAST_MS + draw(random, MORE_MS),
    target: draw(random, 1000),
  }));
  faults.sort((a, b) => a.atMs - b.atMs);
  return { seed, hosts, callers: hosts * CALLERS_A_HOST, isCalm, faults };
}
