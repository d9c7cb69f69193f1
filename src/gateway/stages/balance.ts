/** Decides which replicas should change their stage; performs no I/O. */
import type { Milliseconds } from "../../util/units.ts";
import type { StageLoad } from "../planning/view.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";

/** A change that brings a service closer to its share of prefill replicas. */
export type StageChange = {
  readonly replica: ReplicaEntry;
  readonly stage: ReplicaStage;
};

/** Deviation from the share, in replicas, above which a replica is changed. */
const SHARE_TOLERANCE = 0.75;
/** A stage below this load needs no more replicas. */
const BUSY_LOAD = 0.6;

/**
 * The next change towards the share, if the load of the stages justifies one.
 * Selects a replica of the hall with the most replicas of its stage, so that
 * each hall retains both stages if the halls become isolated.
 */
export function desiredChange(
  replicas: readonly ReplicaEntry[],
  share: number,
  load: StageLoad | undefined,
): StageChange | undefined {
  return changesTowards(replicas, { share, load, maxChanges: 1 })[0];
}

/** Share of a service's engines that may change at once under traffic. */
const MAX_CHANGING_SHARE = 0.05;

/**
 * All changes desired now. Under traffic their number is limited, since a
 * replica is out of service for seconds during its change.
 */
export function desiredChanges(
  replicas: readonly ReplicaEntry[],
  share: number,
  load: StageLoad | undefined,
): StageChange[] {
  const maxChanges = load
    ? Math.max(1, Math.floor(replicas.length * MAX_CHANGING_SHARE))
    : replicas.length;
  return changesTowards(replicas, { share, load, maxChanges });
}

function changesTowards(
  replicas: readonly ReplicaEntry[],
  { share, load, maxChanges }: {
    readonly share: number;
    readonly load: StageLoad | undefined;
    readonly maxChanges: number;
  },
): StageChange[] {
  const staged = replicas.filter((replica) =>
    !replica.leaving && replica.stage
  );
  const prefills = staged.filter((replica) =>
    replica.stage === ReplicaStage.prefill
  );
  const surplus = prefills.length - staged.length * share;
  const stage = surplus > 0 ? ReplicaStage.decode : ReplicaStage.prefill;
  if (load && load[stage] < BUSY_LOAD) return [];
  const candidates = surplus > 0
    ? prefills
    : staged.filter((replica) => replica.stage === ReplicaStage.decode);
  const excess = Math.abs(surplus);
  const halls = new HallQueues(candidates);
  const changes: StageChange[] = [];
  while (
    changes.length < maxChanges && candidates.length - changes.length > 1 &&
    excess - changes.length > SHARE_TOLERANCE
  ) {
    const replica = halls.takeFromLargest();
    if (!replica) break;
    changes.push({ replica, stage });
  }
  return changes;
}

/** Weight of the previous value in the exponential moving average. */
const SMOOTHING_FACTOR = 0.9;
/** A decode load below this counts as no traffic. */
const IDLE_LOAD = 0.01;

/** Exponential moving average of the load of a service's stages. */
export class SmoothedLoad {
  #load: StageLoad | undefined;

  /** The smoothed load; undefined before the first traffic. */
  get load(): StageLoad | undefined {
    return this.#load;
  }

  add(sample: StageLoad): void {
    const previous = this.#load;
    if (!previous && sample.decode < IDLE_LOAD) return;
    const blend = (old: number, now: number) =>
      old * SMOOTHING_FACTOR + now * (1 - SMOOTHING_FACTOR);
    this.#load = previous
      ? {
        prefill: blend(previous.prefill, sample.prefill),
        decode: blend(previous.decode, sample.decode),
      }
      : sample;
  }
}

/** Replicas of one stage by hall, which are taken from the largest hall. */
class HallQueues {
  /** Sorted by incarnation, the next one last. */
  readonly #halls: readonly ReplicaEntry[][];

  constructor(replicas: readonly ReplicaEntry[]) {
    const halls = new Map<string, ReplicaEntry[]>();
    for (const replica of replicas) {
      const queue = halls.get(replica.hall);
      if (queue) queue.push(replica);
      else halls.set(replica.hall, [replica]);
    }
    this.#halls = [...halls.values()];
    for (const queue of this.#halls) {
      queue.sort((a, b) => a.incarnation < b.incarnation ? 1 : -1);
    }
  }

  takeFromLargest(): ReplicaEntry | undefined {
    const [first, ...others] = this.#halls;
    if (!first) return undefined;
    const largest = others.reduce(
      (best, queue) => precedes(queue, best) ? queue : best,
      first,
    );
    return largest.pop();
  }
}

/** Whether a replica of the first queue is taken before those of the second. */
function precedes(
  queue: readonly ReplicaEntry[],
  other: readonly ReplicaEntry[],
): boolean {
  if (queue.length !== other.length) return queue.length > other.length;
  const [next, otherNext] = [queue.at(-1), other.at(-1)];
  return next !== undefined && otherNext !== undefined &&
    next.incarnation < otherNext.incarnation;
}

/** Delays a change until it has been desired for some time. */
export class ChangeDebounce {
  #desiredSince: Milliseconds | undefined;
  #suspendedUntil: Milliseconds = 0;

  /** Whether a change has been desired continuously for `debounceMs`. */
  isDue(
    isDesired: boolean,
    debounceMs: Milliseconds,
    now: Milliseconds,
  ): boolean {
    if (!isDesired) {
      this.#desiredSince = undefined;
      return false;
    }
    this.#desiredSince ??= now;
    return now >= this.#suspendedUntil &&
      now - this.#desiredSince >= debounceMs;
  }

  /** Suspends further changes until `until`. */
  suspendUntil(until: Milliseconds): void {
    this.#suspendedUntil = until;
    this.#desiredSince = undefined;
  }
}
