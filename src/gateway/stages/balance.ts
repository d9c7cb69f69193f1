/** Which replica should change its stage; pure. */
import type { Milliseconds } from "../../core/ids.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";

/** A change that would bring a service nearer to its share of prefill. */
export type StageChange = {
  readonly replica: ReplicaEntry;
  readonly stage: ReplicaStage;
};

/** How many replicas of a service should read prompts. */
export function wantedPrefills(replicas: number, share: number): number {
  return Math.max(1, Math.min(replicas - 1, Math.round(replicas * share)));
}

/**
 * The change that is wanted now, if any. Halls with the most replicas of the
 * stage that is too many give first, so that a hall that is cut off keeps
 * both stages where it can.
 */
export function wantedChange(
  replicas: readonly ReplicaEntry[],
  share: number,
): StageChange | undefined {
  const staged = replicas.filter((one) => !one.leaving && one.stage);
  if (staged.length < 2) return undefined;
  const prefills = staged.filter((one) => one.stage === ReplicaStage.prefill);
  const decodes = staged.filter((one) => one.stage === ReplicaStage.decode);
  const wanted = wantedPrefills(staged.length, share);
  if (prefills.length > wanted) {
    const replica = fromFullestHall(prefills);
    return replica && { replica, stage: ReplicaStage.decode };
  }
  if (prefills.length < wanted) {
    const replica = fromFullestHall(decodes);
    return replica && { replica, stage: ReplicaStage.prefill };
  }
  return undefined;
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
  readonly #patienceMs: Milliseconds;

  constructor(patienceMs: Milliseconds) {
    this.#patienceMs = patienceMs;
  }

  /** Whether a change that is wanted now has been so for long enough. */
  ripe(wanted: boolean, now: Milliseconds): boolean {
    if (!wanted) {
      this.#since = undefined;
      return false;
    }
    this.#since ??= now;
    return now >= this.#quietUntil && now - this.#since >= this.#patienceMs;
  }

  /** No further change until `until`. */
  rest(until: Milliseconds): void {
    this.#quietUntil = until;
    this.#since = undefined;
  }
}
