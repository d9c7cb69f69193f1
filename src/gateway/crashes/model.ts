/** What is known of requests under which replicas crashed. */
import type { Milliseconds } from "../../util/units.ts";

/** A request that ran at a replica when that replica crashed. */
export type CrashRecord = {
  /** Names the request, whoever sends it and however often. */
  readonly fingerprint: string;
  /** The start of the replica that crashed. */
  readonly incarnation: string;
  /** By this host's clock. */
  readonly at: Milliseconds;
};

/** A request that was answered whole: no earlier crash is laid to it. */
export type Acquittal = {
  readonly fingerprint: string;
  /** By this host's clock. */
  readonly at: Milliseconds;
};

/** What one host knows and another may not. */
export type CrashNews = {
  readonly records: readonly CrashRecord[];
  readonly acquittals: readonly Acquittal[];
};

/** Why a request is sent to no replica. */
export type Quarantine = {
  /** The replicas that crashed under it. */
  readonly incarnations: readonly string[];
  readonly until: Milliseconds;
};

/** Bounds of the quarantine, from the settings. */
export type CrashRule = {
  /** Crashes after which a request is sent to no further replica. */
  readonly most: number;
  /** How long a crash is remembered, and so a request is refused. */
  readonly lifeMs: Milliseconds;
};
