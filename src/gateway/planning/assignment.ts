/** Assignments as the requesting host knows them. */
import type { Milliseconds } from "../../util/units.ts";
import type { RequiredVersion } from "../replicas/required_version.ts";
import type {
  PlanGrant,
  PlanHandover,
  PlanProgress,
  PlanRefusal,
  PlanRequest,
  RefusalBasis,
} from "./messages.ts";

/** Parameters of an assignment request. */
export type PlacementRequest = {
  readonly id: string;
  readonly service: string;
  readonly tokens: number;
  readonly promptTokens: number;
  /** Tokens that it is expected to generate; 0 for a plain request. */
  readonly outputTokens: number;
  /** The customer that sent it; empty without customers. */
  readonly customer: string;
  /** Time within which its first event is on time. */
  readonly objectiveMs: Milliseconds;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly dueAt: Milliseconds;
  readonly abandonAt: Milliseconds;
  /** Identifies the prompt, to recognize a retry. */
  readonly key: string;
  /** Longest retry delay that its caller accepts. */
  readonly longestRetryMs: Milliseconds;
  /** When its caller stops waiting; absent if that is unknown. */
  readonly deadlineAt?: Milliseconds;
  /** An earlier attempt may have run: the request goes before new ones. */
  readonly mayHaveRun: boolean;
  /** The decode replica has to do a local prefill. */
  readonly localPrefill: boolean;
  /** Its route allows it to run more than once. */
  readonly repeatable: boolean;
  /** The name of its route, if the planner counts by route. */
  readonly route?: string | undefined;
  /** The attempt before ended with an error response. */
  readonly afterError?: boolean;
  /** Another attempt is in progress. */
  readonly isSecond?: boolean;
  readonly excluded: ReadonlySet<string>;
  /** The decode replica must have this version; absent: any will do. */
  readonly boundTo?: RequiredVersion | undefined;
};

/** The assigned replicas, by incarnation. */
export type Assignment =
  & { readonly decode: string; readonly prefill?: string }
  & PlainAdvice;

/** What a planner knows of a plain call that it grants. */
export type PlainAdvice = Pick<PlanGrant, "finalErrors" | "secondAfterMs">;

/** Why there is no assignment. */
export type AssignmentRefusal = {
  readonly reason: "no-replica" | "no-memory" | "busy" | "cancelled";
  readonly retryAfterMs?: Milliseconds;
  /** The planner that refused, and the state on which it decided. */
  readonly planner?: string;
  readonly basis?: RefusalBasis;
};

/** The events of a complete response, and how long it took. */
export type RunSummary = Pick<ProgressDetails, "events" | "runMs">;

/** Details of a progress report. */
export type ProgressDetails = Omit<PlanProgress, "type" | "id" | "stage">;

/** An assignment that this host uses. */
export type ActiveAssignment = {
  readonly request: PlacementRequest;
  readonly decode: string;
  /** Events received so far, and the time since the first one. */
  events: number;
  runMs: Milliseconds;
  /** The planner whose ledger records it. */
  planner: string;
};

/** Hands an assignment over to another planner. */
export function handoverOf(
  id: string,
  { request, decode, events, runMs }: ActiveAssignment,
): PlanHandover {
  const { service, tokens, promptTokens, outputTokens, priority, customer } =
    request;
  return {
    type: "keep",
    id,
    service,
    decode,
    tokens,
    promptTokens,
    outputTokens,
    priority,
    customer,
    events,
    runMs,
  };
}

/** Converts a planner's grant. */
export function toAssignment(
  { decode, prefill, finalErrors, secondAfterMs }: PlanGrant,
): Assignment {
  return {
    decode,
    ...(prefill === undefined ? {} : { prefill }),
    ...(finalErrors ? { finalErrors } : {}),
    ...(secondAfterMs === undefined ? {} : { secondAfterMs }),
  };
}

/** Converts a planner's refusal. */
export function toAssignmentRefusal(
  planner: string,
  refusal: PlanRefusal,
): AssignmentRefusal {
  const { reason, retryAfterMs, basis } = refusal;
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { reason, planner, basis, ...retry };
}

/** The message that requests an assignment for a host in `hall`. */
export function planRequestOf(
  request: PlacementRequest,
  hall: string,
  now: Milliseconds,
): PlanRequest {
  return {
    type: "ask",
    id: request.id,
    service: request.service,
    tokens: request.tokens,
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    customer: request.customer,
    objectiveMs: request.objectiveMs,
    hall,
    priority: request.priority,
    slackMs: request.dueAt - now,
    patienceMs: request.abandonAt - now,
    key: request.key,
    longestRetryMs: request.longestRetryMs,
    ...(request.deadlineAt === undefined
      ? {}
      : { deadlineMs: request.deadlineAt - now }),
    begun: request.mayHaveRun,
    whole: request.localPrefill,
    excluded: [...request.excluded],
    ...(request.repeatable ? { repeatable: true as const } : {}),
    ...(request.route === undefined ? {} : { route: request.route }),
    ...(request.afterError ? { afterError: true as const } : {}),
    ...(request.isSecond ? { second: true as const } : {}),
    ...boundToOf(request),
  };
}

/** The version that a request is bound to, for its planner. */
function boundToOf(
  { boundTo }: PlacementRequest,
): Pick<PlanRequest, "boundTo"> {
  if (!boundTo) return {};
  const { softwareVersion } = boundTo;
  return { boundTo: softwareVersion === undefined ? {} : { softwareVersion } };
}
