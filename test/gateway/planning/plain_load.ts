/** Loads on a plain service in virtual time. */
import type { Scheduling } from "../../../src/gateway/context.ts";

/** A call of a caller, and what became of it. */
export type SimulatedCall = {
  readonly index: number;
  readonly route: string;
  readonly repeatable: boolean;
  readonly at: number;
  /** Time that it takes in a slot of a replica of usual speed. */
  readonly workMs: number;
  /** In [0, 1); the same for all attempts. */
  readonly luck: number;
  sends: number;
  endedAt?: number;
  isError?: boolean;
};

/** A load on a plain service. */
export type PlainLoad = {
  readonly replicas: number;
  readonly seconds: number;
  readonly perSecond: number;
  readonly scheduling: Partial<Scheduling>;
  readonly routes: readonly {
    readonly name: string;
    readonly repeatable: boolean;
  }[];
  readonly budget: { readonly ratio: number; readonly extra: number };
  /** Time in a slot of a replica of usual speed. */
  workMs(random: () => number): number;
  /** How many times slower a replica is; 1 by default. */
  slowness?(replica: number, now: number): number;
  /** Whether an attempt of the call gets an error response there. */
  fails?(call: SimulatedCall, replica: number, now: number): boolean;
  /** Whether the replica breaks an attempt off without a response. */
  breaks?(call: SimulatedCall, replica: number, now: number): boolean;
  /** Whether the planner pauses replicas after failures in a row. */
  readonly pauses?: boolean;
};

/** The share of the calls that got no error within a time. */
export function shareServed(
  calls: readonly SimulatedCall[],
  withinMs: number,
): number {
  const served = calls.filter(({ at, endedAt, isError }) =>
    isError === false && endedAt !== undefined && endedAt - at <= withinMs
  );
  return served.length / calls.length;
}
