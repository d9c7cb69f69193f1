/** Pools of replicas with known capacities, and demand on them. */
import type { ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import type {
  ReplicaCapacity,
  StageDemand,
  StageMeasurement,
} from "../../../src/gateway/stages/demand.ts";
import {
  MeasuredBalance,
  type SplitDecision,
} from "../../../src/gateway/stages/measured_balance.ts";
import { SplitValue } from "../../../src/gateway/stages/split_value.ts";
import {
  capacityOf,
  membersOf,
} from "../../../src/gateway/stages/split_members.ts";
import { replicaEntry } from "../replica_entry.ts";

export const MEMORY = 70_000;
/** Prompt tokens per second of a replica of speed 1. */
export const RATE = 45_000;
export const SWITCH_MS = 6000;
const STEP_MS = 500;

/** A replica as `hall`, stage and speed. */
export type Spec = readonly [
  hall: string,
  stage: ReplicaStage,
  speed: number,
];

/** Replicas "r0", "r1" and so on. */
export function replicasOf(specs: readonly Spec[]): ReplicaEntry[] {
  return specs.map(([hall, stage], at) =>
    replicaEntry(`r${at}`, { hall, stage })
  );
}

/** The capacities of replicas whose speed drives both stages. */
export function capacitiesOf(specs: readonly Spec[]): ReplicaCapacity[] {
  return specs.map(([, , speed], at) => ({
    incarnation: `r${at}`,
    speed,
    promptTokensPerSecond: RATE * speed,
  }));
}

/**
 * Demand in replicas of speed 1: `prefill` of them busy with prompts, and the
 * memory of `decode` of them full.
 */
export function demandOf(prefill: number, decode: number): StageDemand {
  return {
    promptTokensPerSecond: prefill * RATE,
    memoryTokens: decode * MEMORY,
    meanPromptTokens: 5000,
    runMs: 4000,
    objectiveMs: 900,
  };
}

/** Values splits as the balance does. */
export function valueOf(
  specs: readonly Spec[],
  demand: StageDemand,
): SplitValue {
  const rates = capacitiesOf(specs)
    .map((capacity) => capacity.promptTokensPerSecond)
    .sort((a, b) => a - b);
  const median = rates[Math.floor(rates.length / 2)] ?? RATE;
  const prefillMs = demand.meanPromptTokens * 1000 / median;
  return new SplitValue({ ...demand, memory: MEMORY, prefillMs });
}

/** The multiple of the demand that a split can serve. */
export function served(specs: readonly Spec[], demand: StageDemand): number {
  const members = membersOf(replicasOf(specs), capacitiesOf(specs));
  return valueOf(specs, demand).servedBy(capacityOf(members));
}

/** A change that a pool carried out. */
export type PoolOrder = { readonly at: number; readonly stage: ReplicaStage };

/** A pool in virtual time that carries out all orders. */
export class Pool {
  specs: Spec[];
  now = 0;
  readonly orders: PoolOrder[] = [];
  readonly balance = new MeasuredBalance();
  decision: SplitDecision | undefined;
  /** Incarnations that are not listed. */
  readonly missing = new Set<string>();

  constructor(specs: readonly Spec[]) {
    this.specs = [...specs];
  }

  get prefills(): number {
    return this.specs.filter(([, stage]) => stage === "prefill").length;
  }

  /** Advances by `forMs` with the demand at each time. */
  run(forMs: number, demandAt: (now: number) => StageDemand): void {
    for (const end = this.now + forMs; this.now < end;) {
      this.now += STEP_MS;
      const demand = demandAt(this.now);
      this.decide((replicas) => ({
        demand,
        memory: MEMORY,
        capacities: replicas.map(({ incarnation }) => {
          const speed = this.specs[Number(incarnation.slice(1))]?.[2] ?? 1;
          return {
            incarnation,
            speed,
            promptTokensPerSecond: RATE * speed,
          };
        }),
      }));
    }
  }

  decide(
    measure: (
      replicas: readonly ReplicaEntry[],
    ) => StageMeasurement | undefined,
  ): void {
    const all = replicasOf(this.specs);
    const replicas = all.filter(({ incarnation }) =>
      !this.missing.has(incarnation)
    );
    const service = { replicas, measure, switchMs: SWITCH_MS };
    this.decision = this.balance.decide(service, this.now);
    const changes = this.decision?.changes ?? [];
    for (const { replica, stage } of changes) {
      const at = all.indexOf(replica);
      this.specs = this.specs.with(at, [
        replica.hall,
        stage,
        this.specs[at]?.[2] ?? 1,
      ]);
      this.orders.push({ at: this.now, stage });
    }
    if (changes.length > 0) {
      this.balance.suspendUntil(this.now + SWITCH_MS + 5000);
    }
  }
}

/** Replicas in three halls; every fourth is `fast` times as fast. */
export function mixedPool(
  count: number,
  stageOf: (at: number) => ReplicaStage,
  fast = 2,
): Spec[] {
  return Array.from({ length: count }, (_, at): Spec => [
    `h${at % 3}`,
    stageOf(at),
    at % 4 === 0 ? fast : 1,
  ]);
}
