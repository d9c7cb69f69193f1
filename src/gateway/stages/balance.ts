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
  const staged = replicas.filter((replica) =>
    !replica.leaving && replica.stage
  );
  const prefills = staged.filter((replica) =>
    replica.stage === ReplicaStage.prefill
  );
  const decodes = staged.filter((replica) =>
    replica.stage === ReplicaStage.decode
  );
  const surplus = prefills.length - staged.length * share;
  if (surplus > SHARE_TOLERANCE && prefills.length > 1) {
    if (load && load.decode < BUSY_LOAD) return undefined;
    const replica = fromLargestHall(prefills);
    return replica && { replica, stage: ReplicaStage.decode };
  }
  if (surplus < -SHARE_TOLERANCE && decodes.length > 1) {
    if (load && load.prefill < BUSY_LOAD) return undefined;
    const replica = fromLargestHall(decodes);
    return replica && { replica, stage: ReplicaStage.prefill };
  }
  return undefined;
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
  const after = [...replicas];
  const changes: StageChange[] = [];
  while (changes.length < maxChanges) {
    const change = desiredChange(after, share, load);
    if (!change) return changes;
    changes.push(change);
    const at = after.indexOf(change.replica);
    after[at] = { ...change.replica, stage: change.stage };
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

function fromLargestHall(
  replicas: readonly ReplicaEntry[],
): ReplicaEntry | undefined {
  const sizes = new Map<string, number>();
  for (const { hall } of replicas) sizes.set(hall, (sizes.get(hall) ?? 0) + 1);
  return [...replicas].sort((a, b) =>
    (sizes.get(b.hall) ?? 0) - (sizes.get(a.hall) ?? 0) ||
    (a.incarnation < b.incarnation ? -1 : 1)
  )[0];
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
