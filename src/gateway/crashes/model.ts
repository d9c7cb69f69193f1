/** Records of what ran at crashed replicas. */
import type { Milliseconds } from "../../util/units.ts";

/** What a fingerprint in a crash record identifies. */
export const SuspectKind = {
  request: "request",
  /** A part of prompts that requests of a service share. */
  part: "part",
  /**
   * All requests of a service. Never quarantined: its crashes and responses tell
   * whether other requests are served while one isn't.
   */
  service: "service",
} as const;
/** One of the values of {@link SuspectKind}. */
export type SuspectKind = typeof SuspectKind[keyof typeof SuspectKind];

/** A suspect that ran at a replica when the replica crashed. */
export type CrashRecord = {
  readonly kind: SuspectKind;
  readonly fingerprint: string;
  /** The incarnation of the replica that crashed. */
  readonly incarnation: string;
  /** By this host's clock. */
  readonly at: Milliseconds;
  /** Time since the suspect was sent to the replica; the longest of several. */
  readonly ranMs: Milliseconds;
  /** Only for a part. */
  readonly prompt?: CrashedPrompt;
  /** Only for a service: its number of replicas of the crashed one's stage. */
  readonly replicas?: number;
};

/** The prompt by which a part ran at a crashed replica. */
export type CrashedPrompt = {
  /**
   * The request, by the first digits of its fingerprint: one request is evidence
   * against its parts once, however many replicas crash under it.
   */
  readonly request: string;
  /** Number of parts before this one. */
  readonly depth: number;
};

/** A complete response: earlier crashes of the suspect don't count. */
export type Clearance = {
  readonly fingerprint: string;
  /** Of the last response, by this host's clock. */
  readonly at: Milliseconds;
  /** The host that forwarded the responses. */
  readonly host: string;
  /** Number of complete responses that this host has counted. */
  readonly responses: number;
};

/** Records and clearances that one host reports to another. */
export type CrashUpdate = {
  readonly records: readonly CrashRecord[];
  readonly clearances: readonly Clearance[];
};

/** Why a request is not sent to any replica. */
export type Quarantine = {
  /** Whether the request itself is quarantined, or a part of its prompt. */
  readonly kind: SuspectKind;
  readonly fingerprint: string;
  /** The replicas that crashed while they ran it. */
  readonly incarnations: readonly string[];
  /** Number of complete responses that hosts have counted, at all together. */
  readonly responses: number;
  readonly until: Milliseconds;
};

/** Settings of the quarantine. */
export type CrashRule = {
  /** Number of crashes after which a request or a part is quarantined. */
  readonly crashThreshold: number;
  /** TTL of crash records, and thus of a quarantine. */
  readonly ttlMs: Milliseconds;
};
