/** Retains both stages in the halls of a service, in case they are cut apart. */
import { ReplicaStage } from "../replicas/model.ts";
import type { SplitMember } from "./split_members.ts";

type HallCounts = { prefills: number; decodes: number };

/**
 * Whether a step retains both stages: in the service, and in each hall of two
 * or more replicas. A hall may lose its last prefill replica if there are fewer
 * of them than such halls, since decode replicas can do local prefills.
 */
export function keepsStages(
  before: readonly SplitMember[],
  after: readonly SplitMember[],
): boolean {
  const hallsBefore = countByHall(before);
  const halls = [...countByHall(after)];
  const sum = (stage: keyof HallCounts) =>
    halls.reduce((total, [, counts]) => total + counts[stage], 0);
  const prefills = sum("prefills");
  if (prefills === 0 || sum("decodes") === 0) return false;
  const largeHalls =
    halls.filter(([, counts]) => counts.prefills + counts.decodes > 1).length;
  return halls.every(([hall, counts]) => {
    if (counts.prefills + counts.decodes < 2) return true;
    const was = hallsBefore.get(hall);
    if (counts.decodes === 0 && was?.decodes !== 0) return false;
    const losesPrefill = counts.prefills === 0 && was?.prefills !== 0;
    return !losesPrefill || prefills < largeHalls;
  });
}

/** Number of halls that have both stages. */
export function hallsWithBothStages(split: readonly SplitMember[]): number {
  return [...countByHall(split).values()].filter((counts) =>
    counts.prefills > 0 && counts.decodes > 0
  ).length;
}

function countByHall(split: readonly SplitMember[]): Map<string, HallCounts> {
  const halls = new Map<string, HallCounts>();
  for (const { replica: { hall }, stage } of split) {
    const counts = halls.get(hall) ?? { prefills: 0, decodes: 0 };
    halls.set(hall, counts);
    if (stage === ReplicaStage.prefill) counts.prefills += 1;
    else counts.decodes += 1;
  }
  return halls;
}
