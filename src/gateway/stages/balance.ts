/** Which replica should change its stage; pure. */
import type { Milliseconds } from "../../util/units.ts";
import type { StageLoad } from "../planning/view.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";

/** A change that would bring a service nearer to its share of prefill. */
export type StageChange = {
  readonly replica: ReplicaEntry;
  readonly stage: ReplicaStage;
};

/** Replicas that the count may be off the share before one is changed. */
const TOLERANCE = 0.75;
/** A stage this busy is short of replicas; a stage below it can give one. */
const BUSY = 0.6;

/**
 * The change that is wanted now, if any: towards the share, and only where
 * the load of the stages speaks for it. Halls with the most replicas of the
 * stage that gives go first, so that a hall that is cut off keeps both stages
 * where it can.
 */
export function wantedChange(
  replicas: readonly ReplicaEntry[],
  share: number,
  load: StageLoad | undefined,
): StageChange | undefined {
  const staged = replicas.filter((one) => !one.leaving && one.stage);
  const prefills = staged.filter((one) => one.stage === ReplicaStage.prefill);
  const decodes = staged.filter((one) => one.stage === ReplicaStage.decode);
  const surplus = prefills.length - staged.length * share;
  if (surplus > TOLERANCE && prefills.length > 1) {
    if (load && load.decode < BUSY) return undefined;
    const replica = fromFullestHall(prefills);
    return replica && { replica, stage: ReplicaStage.decode };
  }
  if (surplus < -TOLERANCE && decodes.length > 1) {
    if (load && load.prefill < BUSY) return undefined;
    const replica = fromFullestHall(decodes);
    return replica && { replica, stage: ReplicaStage.prefill };
  }
  return undefined;
}

/** Part of a service's engines that may change at once under traffic. */
const CHANGING_SHARE = 0.05;

/**
 * All changes that are wanted now: before the first traffic as many as lead
 * to the share, later only a few, for each takes its replica out for seconds.
 */
export function wantedChanges(
  replicas: readonly ReplicaEntry[],
  share: number,
  load: StageLoad | undefined,
): StageChange[] {
  const most = load
    ? Math.max(1, Math.floor(replicas.length * CHANGING_SHARE))
    : replicas.length;
  const after = [...replicas];
  const changes: StageChange[] = [];
  while (changes.length < most) {
    const change = wantedChange(after, share, load);
    if (!change) return changes;
    changes.push(change);
    const at = after.indexOf(change.replica);
    after[at] = { ...change.replica, stage: change.stage };
  }
  return changes;
}

/** Part of the old mean that stays with each new sample. */
const LOAD_MEMORY = 0.9;
/** A load below this is no traffic: the stages are still at rest. */
const AT_REST = 0.01;

/** The load of a service's stages, smoothed; none before the first traffic. */
export class SmoothLoad {
  #load: StageLoad | undefined;

  /** The smoothed load; undefined while there was no traffic. */
  get load(): StageLoad | undefined {
    return this.#load;
  }

  /** Takes a sample. */
  add(sample: StageLoad): void {
    const known = this.#load;
    if (!known && sample.decode < AT_REST) return;
    const blend = (old: number, now: number) =>
      old * LOAD_MEMORY + now * (1 - LOAD_MEMORY);
    this.#load = known
      ? {
        prefill: blend(known.prefill, sample.prefill),
        decode: blend(known.decode, sample.decode),
      }
      : sample;
  }
}

function fromFullestHall(
  replicas: readonly ReplicaEntry[],
): ReplicaEntry | undefined {
  const sizes = new Map<string, number>();
  for (const { hall } of replicas) sizes.set(hall, (sizes.get(hall) ?? 0) + 1);
  return [...replicas].sort((a, b) =>
    (sizes.get(b.hall) ?? 0) - (sizes.get(a.hall) ?? 0) ||
    (a.incarnation < b.incarnation ? -1 : 1)
  )[0];
}

/** Remembers since when a change has been wanted, and when one was ordered. */
export class ChangePatience {
  #since: Milliseconds | undefined;
  #quietUntil: Milliseconds = 0;

  /** Whether a change that is wanted now has been so for `patienceMs`. */
  ripe(
    wanted: boolean,
    patienceMs: Milliseconds,
    now: Milliseconds,
  ): boolean {
    if (!wanted) {
      this.#since = undefined;
      return false;
    }
    this.#since ??= now;
    return now >= this.#quietUntil && now - this.#since >= patienceMs;
  }

  /** No further change until `until`. */
  rest(until: Milliseconds): void {
    this.#quietUntil = until;
    this.#since = undefined;
  }
}
