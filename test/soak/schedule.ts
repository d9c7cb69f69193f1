/** Which faults strike when, drawn from a seed; pure. */
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import { draw } from "../../src/util/chance.ts";

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
  replicaRestart: "replica restarts under its id",
  foreignRows: "another writer's rows",
  storeRestored: "store comes back from an older copy",
  storeRestoredAway: "store down, comes back from an older copy",
  replicaLimit: "replica limits its requests",
  serviceLimit: "all replicas of a stage limit their requests",
  hallLimit: "all replicas of a hall limit their requests",
  replicaLeaveTold: "replica says in answers alone that it leaves",
  replicaBackoff: "replica asks for a pause",
  serviceBackoff: "all replicas of a stage ask for a pause",
  hallBackoff: "all replicas of a hall ask for a pause",
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
  /** One caller repeats a request that crashes its replicas. */
  readonly hasCrashing: boolean;
  readonly faults: readonly Fault[];
};

/**
 * Kinds that came later are drawn by themselves, so that a seed that once failed
 * still strikes as it did.
 */
const LATER_KINDS: readonly FaultKind[] = [
  FaultKind.replicaRestart,
  FaultKind.foreignRows,
];
const RESTORE_KINDS: readonly FaultKind[] = [
  FaultKind.storeRestored,
  FaultKind.storeRestoredAway,
];
const LIMIT_KINDS: readonly FaultKind[] = [
  FaultKind.replicaLimit,
  FaultKind.replicaLimit,
  FaultKind.serviceLimit,
  FaultKind.hallLimit,
];
const NOTICE_KINDS: readonly FaultKind[] = [
  FaultKind.replicaLeaveTold,
  FaultKind.replicaLeaveTold,
  FaultKind.replicaBackoff,
  FaultKind.replicaBackoff,
  FaultKind.serviceBackoff,
  FaultKind.hallBackoff,
];
const FIRST_KINDS = Object.values(FaultKind).filter((one) =>
  ![...LATER_KINDS, ...RESTORE_KINDS, ...LIMIT_KINDS, ...NOTICE_KINDS]
    .includes(one)
);
const LATER_FAULTS = 4;
const RESTORES = 4;
const LIMITS = 6;
const NOTICES = 8;
/** Keeps the later draws apart from the callers'. */
const LATER_SEED = 1_000_003;
const RESTORE_SEED = 2_000_003;
const LIMIT_SEED = 3_000_017;
const NOTICE_SEED = 4_000_037;
const CRASHING_ONE_IN = 2;
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
/** A limit is judged from 3 s after it was named. */
const MORE_LIMIT_MS = 9000;
/** That a replica leaves is judged from 2.5 s after it said so. */
const LEAST_LEAVE_MS = 3000;
const MORE_LEAVE_MS = 4000;
const CALLERS_A_HOST = 3;

/** What a schedule is drawn from. */
export type ScheduleSource = {
  readonly seed: number;
  /** Faults strike within this time. */
  readonly spanMs: number;
  /** Without what came later: as a seed that once failed was played. */
  readonly isFirstKindsOnly?: boolean;
};

/** The schedule of a seed. */
export function scheduleOf(source: ScheduleSource): Schedule {
  const first = firstScheduleOf(source);
  if (source.isFirstKindsOnly || first.isCalm) return first;
  const random = xoroshiro128plus(source.seed + LATER_SEED);
  const faults = drawFaults(random, source, {
    kinds: LATER_KINDS,
    count: draw(random, LATER_FAULTS),
  });
  const hasCrashing = draw(random, CRASHING_ONE_IN) === 0;
  const restores = restoresOf(source);
  const limits = limitsOf(source);
  const notices = noticesOf(source);
  return {
    ...first,
    hasCrashing,
    faults: [...first.faults, ...faults, ...restores, ...limits, ...notices],
  };
}

function restoresOf(source: ScheduleSource): Fault[] {
  const random = xoroshiro128plus(source.seed + RESTORE_SEED);
  const count = draw(random, RESTORES);
  return drawFaults(random, source, { kinds: RESTORE_KINDS, count });
}

function limitsOf(source: ScheduleSource): Fault[] {
  const random = xoroshiro128plus(source.seed + LIMIT_SEED);
  const count = draw(random, LIMITS);
  return drawFaults(random, source, { kinds: LIMIT_KINDS, count })
    .map((one) => ({ ...one, forMs: LEAST_MS + draw(random, MORE_LIMIT_MS) }));
}

function noticesOf(source: ScheduleSource): Fault[] {
  const random = xoroshiro128plus(source.seed + NOTICE_SEED);
  const count = draw(random, NOTICES);
  const faults = drawFaults(random, source, { kinds: NOTICE_KINDS, count });
  return faults.map((one) =>
    one.kind === FaultKind.replicaLeaveTold
      ? { ...one, forMs: LEAST_LEAVE_MS + draw(random, MORE_LEAVE_MS) }
      : one
  );
}

function firstScheduleOf({ seed, spanMs }: ScheduleSource): Schedule {
  const random = xoroshiro128plus(seed);
  const isCalm = draw(random, CALM_ONE_IN) === 0;
  const kinds = isCalm ? CALM_KINDS : FIRST_KINDS;
  const hosts = LEAST_HOSTS + draw(random, MORE_HOSTS);
  const count = LEAST_FAULTS + draw(random, MORE_FAULTS);
  const faults = drawFaults(random, { spanMs }, { kinds, count });
  const callers = hosts * CALLERS_A_HOST;
  return { seed, hosts, callers, isCalm, hasCrashing: false, faults };
}

function drawFaults(
  random: RandomGenerator,
  { spanMs }: { readonly spanMs: number },
  { kinds, count }: {
    readonly kinds: readonly FaultKind[];
    readonly count: number;
  },
): Fault[] {
  const faults = Array.from({ length: count }, () => ({
    kind: kinds[draw(random, kinds.length)] ?? FaultKind.config,
    atMs: draw(random, spanMs),
    forMs: LEAST_MS + draw(random, MORE_MS),
    target: draw(random, 1000),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}
