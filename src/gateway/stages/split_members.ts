/** The replicas of a split, and what both stages can do together. */
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { StageChange } from "./balance.ts";
import type { ReplicaCapacity } from "./demand.ts";
import type { SplitCapacity } from "./split_value.ts";

/** A replica with its stage in a split. */
export type SplitMember = {
  readonly replica: ReplicaEntry;
  readonly stage: ReplicaStage;
  readonly capacity: ReplicaCapacity;
  /** Whether its stage can be changed now. */
  readonly canChange: boolean;
};

/** Replicas of a service that have a stage; the lost ones can't change it. */
export function membersOf(
  replicas: readonly ReplicaEntry[],
  capacities: readonly ReplicaCapacity[],
  lost: readonly ReplicaEntry[] = [],
): SplitMember[] {
  const byIncarnation = new Map(
    capacities.map((capacity) => [capacity.incarnation, capacity]),
  );
  return [...replicas, ...lost].flatMap((replica) => {
    const capacity = byIncarnation.get(replica.incarnation);
    const { stage, leaving } = replica;
    if (!capacity || !stage || leaving) return [];
    const canChange = !lost.includes(replica);
    return [{ replica, stage, capacity, canChange }];
  });
}

/** The other stage. */
export function otherStage(stage: ReplicaStage): ReplicaStage {
  return stage === ReplicaStage.prefill
    ? ReplicaStage.decode
    : ReplicaStage.prefill;
}

/** The split after the changes. */
export function applyChanges(
  members: readonly SplitMember[],
  changes: readonly StageChange[],
): SplitMember[] {
  const stages = new Map(
    changes.map(({ replica, stage }) => [replica.incarnation, stage]),
  );
  return members.map((member) => {
    const stage = stages.get(member.replica.incarnation);
    return stage ? { ...member, stage } : member;
  });
}

/** The capacities of both stages. */
export function capacityOf(members: readonly SplitMember[]): SplitCapacity {
  const sums = {
    prefills: 0,
    prefillRate: 0,
    fastestPrefillRate: 0,
    decodes: 0,
    decodeSpeed: 0,
    decodePrefillRate: 0,
  };
  for (const { stage, capacity } of members) {
    const { speed, promptTokensPerSecond: rate } = capacity;
    if (stage === ReplicaStage.prefill) {
      sums.prefills += 1;
      sums.prefillRate += rate;
      sums.fastestPrefillRate = Math.max(sums.fastestPrefillRate, rate);
    } else {
      sums.decodes += 1;
      sums.decodeSpeed += speed;
      sums.decodePrefillRate += rate;
    }
  }
  return sums;
}

/**
 * The capacities after `changed` have got the other stage. `fastest` are the
 * fastest prefill replicas before, one more than change.
 */
export function capacityAfter(
  before: SplitCapacity,
  fastest: readonly SplitMember[],
  changed: readonly SplitMember[],
): SplitCapacity {
  const after = { ...before };
  const rates = fastest.filter((member) => !changed.includes(member))
    .map((member) => member.capacity.promptTokensPerSecond);
  for (const { stage, capacity } of changed) {
    const { speed, promptTokensPerSecond: rate } = capacity;
    const sign = stage === ReplicaStage.prefill ? 1 : -1;
    if (stage === ReplicaStage.decode) rates.push(rate);
    after.prefills -= sign;
    after.prefillRate -= sign * rate;
    after.decodes += sign;
    after.decodeSpeed += sign * speed;
    after.decodePrefillRate += sign * rate;
  }
  return { ...after, fastestPrefillRate: Math.max(0, ...rates) };
}
