/** Requests that this host owns, and their current attempts. */
import type { CallerRequest, Chunk, PlainAnswer } from "../events.ts";
import type { AttemptId, RequestId } from "../request_ids.ts";
import type { CustomerId, HostId, PoolId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Ran } from "../errors.ts";
import type { PlanGrant } from "../../messages/peer.ts";
import type { Setup } from "./settings.ts";

/** How far a request is. */
export const Phase = {
  /** Its key is being registered. */
  registering: "registering",
  /** Its planner is asked for places. */
  planning: "planning",
  /** It has places; its claim is being written. */
  claiming: "claiming",
  /** It has all it needs to be sent to an upstream. */
  ready: "ready",
  prefilling: "prefilling",
  decoding: "decoding",
  calling: "calling",
  /** Its answer's last part waits until the keepers of its key know. */
  closing: "closing",
} as const;
/** One of the values of {@link Phase}. */
export type Phase = typeof Phase[keyof typeof Phase];

/** A prefill's result, kept by its engine for a while. */
export type Export = {
  readonly upstream: UpstreamId;
  readonly attempt: AttemptId;
  readonly transfer: string;
  readonly until: Milliseconds;
};

/** One caller's request. */
export type Request = {
  readonly id: RequestId;
  readonly call: CallerRequest;
  readonly customer: CustomerId;
  readonly setup: Setup;
  readonly arrived: Milliseconds;
  /** Given up without a first token by then. */
  readonly giveUpAt: Milliseconds;
  phase: Phase;
  phaseSince: Milliseconds;
  /** The planner asked last, and when it was asked. */
  planner?: HostId;
  askedAt: Milliseconds;
  queued: boolean;
  grant?: PlanGrant;
  attempt?: AttemptId;
  /** Attempts made so far; numbers their ids. */
  attempts: number;
  /** Times that places were granted, retries included. */
  rounds: number;
  excluded: UpstreamId[];
  /** The pool asked last, and those that have refused. */
  pool?: PoolId;
  refusedBy: PoolId[];
  export?: Export;
  /** Its claim in the platform's table is won. */
  claimed: boolean;
  /** What is certain about its work so far. */
  ran: Ran;
  /** Tokens and text of the answer so far. */
  tokens: number;
  chunks: string[];
  /** The last part of its answer, in the closing phase. */
  last?: Chunk | PlainAnswer;
  firstTokenAt?: Milliseconds;
  lastTokenAt?: Milliseconds;
  nextKeepAt: Milliseconds;
  /** It ended with its whole answer passed on. */
  answered: boolean;
};

/** One try of a request at an upstream. */
export type Attempt = {
  readonly id: AttemptId;
  readonly request: RequestId;
  upstream: UpstreamId;
  /** What was certain of the request before this attempt was sent. */
  readonly ranBefore: Ran;
  progressAt: Milliseconds;
  resumes: number;
};

/** A cancel that an upstream has not confirmed yet. */
export type Release = {
  readonly attempt: AttemptId;
  readonly upstream: UpstreamId;
  nextAt: Milliseconds;
  waitMs: Milliseconds;
};
