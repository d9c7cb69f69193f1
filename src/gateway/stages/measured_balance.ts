/**
 * Decides which changes of stage a service gets now, by measured demand and
 * capacity. A change is due when the present split has cost more than the
 * change will.
 */
import type { Milliseconds } from "../../util/units.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { StageChange } from "./balance.ts";
import { ChangeEvidence } from "./change_evidence.ts";
import type { StageDemand, StageMeasurement } from "./demand.ts";
import { isHallLost, LostReplicas } from "./lost_replicas.ts";
import { type SplitDemand, SplitValue } from "./split_value.ts";
import {
  applyChanges,
  capacityOf,
  membersOf,
  type SplitMember,
} from "./split_members.ts";
import { wantedSteps } from "./wanted_split.ts";

/** Share of a service's engines that may change at once. */
const MAX_CHANGING_SHARE = 0.125;
/** Most engines of a service that change at once. */
const MAX_CHANGES = 8;
/** Steps that are looked ahead, in addition to the changes allowed at once. */
const EXTRA_STEPS = 2;
/**
 * Part of a replica's share that a change costs besides its time out of
 * service, since demand that turns back requires another change.
 */
const REVERSAL_SHARE = 0.5;
/** The state of one service that a decision is based on. */
export type MeasuredService = {
  /** Replicas of the service; those that change have their new stage. */
  readonly replicas: readonly ReplicaEntry[];
  /** Undefined until demand and capacities of these replicas are known. */
  measure(replicas: readonly ReplicaEntry[]): StageMeasurement | undefined;
  /** Duration of a change of stage. */
  readonly switchMs: Milliseconds;
};

/** A decision, with the figures that it is based on. */
export type SplitDecision = {
  /** The changes to order now; empty while none is due. */
  readonly changes: readonly StageChange[];
  readonly demand: StageDemand;
  readonly prefills: number;
  readonly wantedPrefills: number;
  readonly decodes: number;
  /** Multiples of the demand that the splits can serve. */
  readonly served: number;
  readonly wantedServed: number;
};

/** The changes that are wanted, and whether they pay. */
type Plan = {
  readonly changes: readonly StageChange[];
  /** Share by which the value rises. */
  readonly gain: number;
  /** Share of the value, times the seconds for which it is lost. */
  readonly cost: number;
};

/** Balances the stages of one service. */
export class MeasuredBalance {
  readonly #evidence = new ChangeEvidence();
  readonly #lost = new LostReplicas();
  #heldUntil: Milliseconds = 0;

  /** Updates the evidence; undefined while nothing is measured. */
  decide(
    service: MeasuredService,
    now: Milliseconds,
  ): SplitDecision | undefined {
    const { replicas } = service;
    const lost = this.#lost.update(replicas, now);
    if (isHallLost(replicas, lost)) {
      this.#evidence.reset();
      return undefined;
    }
    const measurement = service.measure([...replicas, ...lost]);
    if (!measurement) return undefined;
    const { demand, memory, capacities } = measurement;
    const members = membersOf(replicas, capacities, lost);
    const prefillMs = demand.meanPromptTokens * 1000 / medianRate(members);
    const value = new SplitValue({ ...demand, memory, prefillMs });
    const plan = bestPlan(members, value, {
      ...demand,
      memory,
      prefillMs,
      switchMs: service.switchMs,
    });
    const wanted = plan ? applyChanges(members, plan.changes) : members;
    const present = capacityOf(members);
    const after = capacityOf(wanted);
    if (now >= this.#heldUntil) {
      this.#evidence.add(
        plan ? plan.gain / plan.cost : 0,
        after.prefills - present.prefills,
        now,
      );
    }
    const isDue = plan && lost.length === 0 && now >= this.#heldUntil &&
      this.#evidence.isSufficient;
    return {
      changes: isDue ? firstChanges(members, value, plan.changes) : [],
      demand,
      prefills: present.prefills,
      wantedPrefills: after.prefills,
      decodes: present.decodes,
      served: value.servedBy(present),
      wantedServed: value.servedBy(after),
    };
  }

  /** Delays orders until `until`, after an attempt that ordered nothing. */
  retryAt(until: Milliseconds): void {
    this.#heldUntil = Math.max(this.#heldUntil, until);
  }

  /** Discards the evidence, and orders nothing until `until`. */
  suspendUntil(until: Milliseconds): void {
    this.retryAt(until);
    this.#evidence.reset();
  }
}

type PlanDemand = SplitDemand & { readonly switchMs: Milliseconds };

/** The first steps whose gain is largest compared with their cost. */
function bestPlan(
  members: readonly SplitMember[],
  value: SplitValue,
  demand: PlanDemand,
): Plan | undefined {
  const before = value.ofPresent(capacityOf(members));
  const maxSteps = maxChanges(members) + EXTRA_STEPS;
  let best: Plan | undefined;
  for (const isSwapAllowed of [false, true]) {
    const changes: StageChange[] = [];
    let cost = 0;
    const limits = { steps: maxSteps, isSwapAllowed };
    for (const step of wantedSteps(members, value, limits)) {
      changes.push(...step.changes);
      const gain = step.value / before - 1;
      cost += costOf(members, value, { changes: step.changes, demand });
      if (best && best.gain / best.cost >= gain / cost) continue;
      best = { changes: [...changes], gain, cost };
    }
  }
  return best;
}

/** What the changes cost while their replicas are out of service. */
function costOf(
  members: readonly SplitMember[],
  value: SplitValue,
  plan: {
    readonly changes: readonly StageChange[];
    readonly demand: PlanDemand;
  },
): number {
  const { changes, demand } = plan;
  const before = value.ofPresent(capacityOf(members));
  return changes.reduce((cost, { replica, stage }) => {
    const during = value.of(capacityOf(without(members, replica)));
    const drainMs = stage === ReplicaStage.prefill
      ? demand.runMs
      : demand.prefillMs;
    const lost = Math.max(0, 1 - during / before) +
      REVERSAL_SHARE / members.length;
    return cost + lost * (demand.switchMs + drainMs) / 1000;
  }, 0);
}

/** The changes to order at once: those first that cost least meanwhile. */
function firstChanges(
  members: readonly SplitMember[],
  value: SplitValue,
  changes: readonly StageChange[],
): StageChange[] {
  const during = new Map(
    changes.map((change) => [
      change,
      value.of(capacityOf(without(members, change.replica))),
    ]),
  );
  return [...changes]
    .sort((a, b) => (during.get(b) ?? 0) - (during.get(a) ?? 0))
    .slice(0, maxChanges(members));
}

function maxChanges(members: readonly SplitMember[]): number {
  const share = Math.floor(members.length * MAX_CHANGING_SHARE);
  return Math.min(MAX_CHANGES, Math.max(1, share));
}

function without(
  members: readonly SplitMember[],
  { incarnation }: ReplicaEntry,
): SplitMember[] {
  return members.filter((member) => member.replica.incarnation !== incarnation);
}

function medianRate(members: readonly SplitMember[]): number {
  const rates = members
    .map((member) => member.capacity.promptTokensPerSecond)
    .sort((a, b) => a - b);
  return rates[Math.floor(rates.length / 2)] ?? Infinity;
}
