/** Records of requests that ran at crashed replicas. */
import type { Milliseconds } from "../../util/units.ts";

/** A request that ran at a replica when the replica crashed. */
export type CrashRecord = {
  /** Identifies the request over all retries. */
  readonly fingerprint: string;
  /** The incarnation of the replica that crashed. */
  readonly incarnation: string;
  /** By this host's clock. */
  readonly at: Milliseconds;
};

/** A request that got a complete response: its earlier crashes don't count. */
export type Clearance = {
  readonly fingerprint: string;
  /** By this host's clock. */
  readonly at: Milliseconds;
};

/** Records and clearances that one host reports to another. */
export type CrashUpdate = {
  readonly records: readonly CrashRecord[];
  readonly clearances: readonly Clearance[];
};

/** Why a request is not sent to any replica. */
export type Quarantine = {
  /** The replicas that crashed while they ran the request. */
  readonly incarnations: readonly string[];
  readonly until: Milliseconds;
};

/** Settings of the quarantine. */
export type CrashRule = {
  /** Number of crashes after which a request is quarantined. */
  readonly crashThreshold: number;
  /** TTL of crash records, and thus of a quarantine. */
  readonly ttlMs: Milliseconds;
};
