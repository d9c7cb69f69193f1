/** Retains both stages in the halls of a service, in case they are cut apart. */
import { ReplicaStage } from "../replicas/model.ts";
import type { SplitMember } from "./split_members.ts";

type HallCounts = { readonly prefills: number; readonly decodes: number };

/** Numbers of replicas of both stages, by hall. */
export type HallStages = ReadonlyMap<string, HallCounts>;

const NONE: HallCounts = { prefills: 0, decodes: 0 };

/** The numbers of replicas in a split. */
export function hallStagesOf(split: readonly SplitMember[]): HallStages {
  const halls = new Map<string, HallCounts>();
  for (const { replica: { hall }, stage } of split) {
    const { prefills, decodes } = halls.get(hall) ?? NONE;
    const isPrefill = stage === ReplicaStage.prefill;
    halls.set(hall, {
      prefills: prefills + (isPrefill ? 1 : 0),
      decodes: decodes + (isPrefill ? 0 : 1),
    });
  }
  return halls;
}

/** The numbers after `changed` have got the other stage. */
export function hallStagesAfter(
  before: HallStages,
  changed: readonly SplitMember[],
): HallStages {
  const halls = new Map(before);
  for (const { replica: { hall }, stage } of changed) {
    const { prefills, decodes } = halls.get(hall) ?? NONE;
    const sign = stage === ReplicaStage.prefill ? 1 : -1;
    halls.set(hall, { prefills: prefills - sign, decodes: decodes + sign });
  }
  return halls;
}

/**
 * Whether a step retains both stages: in the service, and in each hall of two
 * or more replicas. A hall may lose its last prefill replica if there are fewer
 * of them than such halls, since decode replicas can do local prefills.
 */
export function keepsStages(before: HallStages, after: HallStages): boolean {
  const halls = [...after];
  const sum = (stage: keyof HallCounts) =>
    halls.reduce((total, [, counts]) => total + counts[stage], 0);
  const prefills = sum("prefills");
  if (prefills === 0 || sum("decodes") === 0) return false;
  const largeHalls =
    halls.filter(([, counts]) => counts.prefills + counts.decodes > 1).length;
  return halls.every(([hall, counts]) => {
    if (counts.prefills + counts.decodes < 2) return true;
    const was = before.get(hall);
    if (counts.decodes === 0 && was?.decodes !== 0) return false;
    const losesPrefill = counts.prefills === 0 && was?.prefills !== 0;
    return !losesPrefill || prefills < largeHalls;
  });
}

/** Number of halls that have both stages. */
export function hallsWithBothStages(halls: HallStages): number {
  return [...halls.values()].filter((counts) =>
    counts.prefills > 0 && counts.decodes > 0
  ).length;
}
