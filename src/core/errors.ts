/**
 * The closed list of error kinds and the one table from kind to answer. No
 * other file names an HTTP status code that callers see.
 */

/** Whether a request's work ran on an upstream, as told to its caller. */
export const Ran = {
  /** No byte left for an upstream, or the upstream said it never started. */
  notRun: "not run",
  /** It may have run; nobody can tell. */
  unknown: "unknown",
  /** It ran, at least in part. */
  ran: "ran",
} as const;
/** One of the values of {@link Ran}. */
export type Ran = typeof Ran[keyof typeof Ran];

/** Every way in which a request can end without its whole answer. */
export const ErrorKind = {
  badRequest: "bad_request",
  bodyTooLarge: "body_too_large",
  unknownKey: "unknown_key",
  unknownModel: "unknown_model",
  notFound: "not_found",
  keyRequired: "key_required",
  overloaded: "overloaded",
  noUpstream: "no_upstream",
  noCapacityInTime: "no_capacity_in_time",
  starting: "starting",
  stopping: "stopping",
  duplicateRunning: "duplicate_running",
  duplicateAnswered: "duplicate_answered",
  duplicateUnsure: "duplicate_unsure",
  claimUnavailable: "claim_unavailable",
  claimTaken: "claim_taken",
  outcomeUnknown: "outcome_unknown",
  upstreamFailed: "upstream_failed",
  streamBroken: "stream_broken",
  callerGone: "caller_gone",
} as const;
/** One of the values of {@link ErrorKind}. */
export type ErrorKind = typeof ErrorKind[keyof typeof ErrorKind];

/** What a caller is told for one kind of error. */
export type Answer = {
  /** HTTP status code. */
  readonly status: number;
  /** One sentence for the caller. */
  readonly message: string;
  /** Whether the caller may send the request again, and when by default. */
  readonly retryAfterSeconds?: number;
  /**
   * The least that must be said of the work under the caller's key; the
   * request itself may know of more.
   */
  readonly ran: Ran;
};

const NOT_RUN = Ran.notRun;

/** The answer to each kind of error. */
export const ANSWERS: Readonly<Record<ErrorKind, Answer>> = {
  bad_request: {
    status: 400,
    message: "The request could not be read",
    ran: NOT_RUN,
  },
  body_too_large: {
    status: 413,
    message: "The request body is larger than this router accepts",
    ran: NOT_RUN,
  },
  unknown_key: {
    status: 401,
    message: "The API key is not known here",
    ran: NOT_RUN,
  },
  unknown_model: {
    status: 404,
    message: "The model is not in this customer's setup",
    ran: NOT_RUN,
  },
  not_found: {
    status: 404,
    message: "No such path on this router",
    ran: NOT_RUN,
  },
  key_required: {
    status: 400,
    message: "A request marked not to be repeated needs an Idempotency-Key",
    ran: NOT_RUN,
  },
  overloaded: {
    status: 429,
    message: "The pools are full; come back after the time given",
    retryAfterSeconds: 2,
    ran: NOT_RUN,
  },
  no_upstream: {
    status: 503,
    message: "No upstream of this service can be reached from this data hall",
    retryAfterSeconds: 10,
    ran: NOT_RUN,
  },
  no_capacity_in_time: {
    status: 503,
    message: "No pool became free before the request's time ran out",
    retryAfterSeconds: 5,
    ran: NOT_RUN,
  },
  starting: {
    status: 503,
    message: "This host has no settings yet",
    retryAfterSeconds: 2,
    ran: NOT_RUN,
  },
  stopping: {
    status: 503,
    message: "This host is stopping; use another",
    retryAfterSeconds: 1,
    ran: NOT_RUN,
  },
  duplicate_running: {
    status: 409,
    message: "A request with this Idempotency-Key is still running",
    retryAfterSeconds: 2,
    ran: Ran.unknown,
  },
  duplicate_answered: {
    status: 409,
    message: "A request with this Idempotency-Key was already answered",
    ran: Ran.ran,
  },
  duplicate_unsure: {
    status: 503,
    message:
      "This call ran nothing; too few hosts answer to rule out an earlier one",
    retryAfterSeconds: 15,
    ran: Ran.unknown,
  },
  claim_unavailable: {
    status: 503,
    message:
      "This call ran nothing; whether an earlier one did can't be told now",
    retryAfterSeconds: 15,
    ran: Ran.unknown,
  },
  claim_taken: {
    status: 409,
    message: "This request was claimed before and is not run again",
    ran: Ran.unknown,
  },
  outcome_unknown: {
    status: 502,
    message: "The request may have run; it is not run again",
    ran: Ran.unknown,
  },
  upstream_failed: {
    status: 502,
    message: "The upstream failed and no other could take over in time",
    retryAfterSeconds: 2,
    ran: NOT_RUN,
  },
  stream_broken: {
    status: 502,
    message: "The stream broke after its first token and could not be resumed",
    retryAfterSeconds: 1,
    ran: Ran.ran,
  },
  caller_gone: {
    status: 499,
    message: "The caller went away",
    ran: NOT_RUN,
  },
};
