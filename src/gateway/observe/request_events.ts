/** The log events of single requests and their connections. */
import {
  CHANGES_PER_SECOND,
  FAILURES_PER_SECOND,
  info,
  REQUESTS_PER_SECOND,
  UNLIMITED,
  warn,
} from "./event_kind.ts";

/** They come in series while a host is overloaded. */
const SHED_PER_SECOND = 2;

export const REQUEST_EVENTS = {
  heldBack: warn(
    "crashes",
    "A quarantined request was not sent",
    FAILURES_PER_SECOND,
  ),
  placed: info(
    "placement",
    "A request is sent to a replica",
    REQUESTS_PER_SECOND,
  ),
  passedOver: info(
    "placement",
    "A request was not sent to the replica that it was assigned to",
    REQUESTS_PER_SECOND,
  ),
  prefillFailed: warn("prefill", "A prefill failed", FAILURES_PER_SECOND),
  retried: warn("retry", "A request is retried", FAILURES_PER_SECOND),
  errorRetriesStopped: warn(
    "retry",
    "Error responses of a route are no longer retried: retries of them fail",
    CHANGES_PER_SECOND,
  ),
  errorRetriesResumed: info(
    "retry",
    "Error responses of a route are retried again",
    CHANGES_PER_SECOND,
  ),
  secondAttempt: info(
    "retry",
    "A late request is sent to a second replica",
    REQUESTS_PER_SECOND,
  ),
  retryDenied: warn(
    "retry",
    "The retry budget is exhausted",
    FAILURES_PER_SECOND,
  ),
  streamVersionUnknown: warn(
    "streams",
    "Nobody knows the software version that began a resumed stream",
    FAILURES_PER_SECOND,
  ),
  streamVersionFound: info(
    "streams",
    "The software version that began a resumed stream was found",
    REQUESTS_PER_SECOND,
  ),
  continuationWithheld: warn(
    "streams",
    "A replica that has perhaps started again does not continue a stream",
    FAILURES_PER_SECOND,
  ),
  resumed: warn(
    "retry",
    "A stream is resumed at another replica",
    FAILURES_PER_SECOND,
  ),
  answered: info("requests", "A request is answered", REQUESTS_PER_SECOND),
  refused: warn("requests", "A request was refused", FAILURES_PER_SECOND),
  failed: warn("requests", "A request failed", FAILURES_PER_SECOND),
  broken: warn("requests", "A response was cut off", FAILURES_PER_SECOND),
  unfinished: warn(
    "requests",
    "A request ended without its whole response while this host was stopping",
    UNLIMITED,
  ),
  endUnconfirmed: warn(
    "requests",
    "A response without framing ended, and its replica or the peer on the way does not respond",
    FAILURES_PER_SECOND,
  ),
  callerGone: info("requests", "The caller disconnected", REQUESTS_PER_SECOND),
  notStarted: info(
    "requests",
    "A pipelined request was not started, since its connection closed",
    REQUESTS_PER_SECOND,
  ),
  pipelineFull: info(
    "requests",
    "The bound on the pipelined requests of a connection was reached",
    5,
  ),
  connectionShed: warn(
    "callers",
    "A new connection was closed unread, since connections wait for too long",
    SHED_PER_SECOND,
  ),
  connectionRefused: warn(
    "callers",
    "A connection was refused, since the host has too many",
    5,
  ),
  connectionEvicted: info(
    "callers",
    "An idle connection was closed for a new one",
    5,
  ),
  unreadable: warn(
    "requests",
    "A request could not be read",
    FAILURES_PER_SECOND,
  ),
  rejected: info(
    "requests",
    "A replica rejected a request without running it",
    FAILURES_PER_SECOND,
  ),
  crossed: warn(
    "requests",
    "A response to another call was received and dropped",
    FAILURES_PER_SECOND,
  ),
} as const;
