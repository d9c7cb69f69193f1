/**
 * The catalogue of what the gateway logs: one line for each decision that
 * touches a request or changes what the process believes. docs/OPERATIONS.md
 * has a row for each; a test holds the two together.
 */

/** Level and sentence of one kind of event. */
export type EventKind = {
  /** Prefix of the sentence. */
  readonly part: string;
  readonly sentence: string;
  readonly level: "info" | "warn";
  /** Lines a second; what is over is counted in a later line. */
  readonly perSecond: number;
};

const REQUESTS_PER_SECOND = 40;
const FAILURES_PER_SECOND = 60;
const BELIEFS_PER_SECOND = 20;

/** All kinds of events. */
export const EVENT_KINDS = {
  started: info("process", "The process serves callers", BELIEFS_PER_SECOND),
  reloaded: info("process", "The settings are read again", BELIEFS_PER_SECOND),
  reloadRefused: warn(
    "process",
    "The changed settings are faulty; the old ones stay",
    BELIEFS_PER_SECOND,
  ),
  stopping: info(
    "process",
    "The process stops and finishes what it has",
    BELIEFS_PER_SECOND,
  ),
  stopped: info("process", "The process has stopped", BELIEFS_PER_SECOND),
  stoodStill: warn("process", "The process stood still", BELIEFS_PER_SECOND),
  suspended: warn(
    "process",
    "The machine slept or its time of day stepped: the store is read anew",
    BELIEFS_PER_SECOND,
  ),
  storeLost: warn("store", "The store does not answer", BELIEFS_PER_SECOND),
  storeBack: info("store", "The store answers again", BELIEFS_PER_SECOND),
  storeRestored: warn(
    "store",
    "The store came back from an older copy: what it says is taken anew",
    BELIEFS_PER_SECOND,
  ),
  listingOlder: warn(
    "store",
    "A listing of the store is older than the one held, and is dropped",
    2,
  ),
  callFailed: warn("store", "A call to the store or a peer failed", 5),
  readerChosen: info("store", "Another host reads the store", 20),
  readerLeft: warn("store", "The hall's reader is of no use", 20),
  peerState: info("peers", "A peer told newer state", BELIEFS_PER_SECOND),
  configHeard: info("routes", "A newer configuration was heard of", 20),
  configAdopted: info("routes", "A configuration is in force", 20),
  replicaAdded: info("replicas", "A replica is listed", BELIEFS_PER_SECOND),
  replicaRemoved: info("replicas", "A replica is gone", BELIEFS_PER_SECOND),
  replicaLeaving: info("replicas", "A replica is leaving", BELIEFS_PER_SECOND),
  backoffAsked: info(
    "replicas",
    "A replica asks this host to send it nothing for a while",
    BELIEFS_PER_SECOND,
  ),
  backoffUnreadable: warn(
    "replicas",
    "A replica asks for a pause of no readable length",
    1,
  ),
  rowUnreadable: warn(
    "replicas",
    "A row of the listing names no replica",
    5,
  ),
  replicaRestarted: info(
    "replicas",
    "A replica has started again under its id",
    BELIEFS_PER_SECOND,
  ),
  replicaPaused: warn(
    "replicas",
    "A replica failed and is passed over for a while",
    BELIEFS_PER_SECOND,
  ),
  replicaCrashed: warn(
    "crashes",
    "A replica crashed under requests of this host",
    BELIEFS_PER_SECOND,
  ),
  quarantined: warn(
    "crashes",
    "A request crashes its replicas and is sent to no further one",
    BELIEFS_PER_SECOND,
  ),
  quarantineLifted: info(
    "crashes",
    "A request may be sent to replicas again",
    BELIEFS_PER_SECOND,
  ),
  limitNamed: warn("limits", "A replica limits the rate of its requests", 5),
  limitEnded: info("limits", "A replica limits its requests no more", 5),
  limitUnreadable: warn(
    "limits",
    "A replica's limit is no number; what was known of it stays",
    1,
  ),
  limitOwnerLost: warn(
    "limits",
    "An owner of replicas' limits is out of reach",
    20,
  ),
  limitReached: info(
    "limits",
    "A replica's limit has no room for a request now",
    REQUESTS_PER_SECOND,
  ),
  plannerLost: warn("planning", "The planner is out of reach", 20),
  plannerChanged: info("planning", "Another host plans a service", 20),
  quotaOwnerLost: warn("quotas", "An owner of quotas is out of reach", 20),
  heldBack: warn(
    "crashes",
    "A request that crashes its replicas is not sent",
    FAILURES_PER_SECOND,
  ),
  placed: info("placement", "A request is sent", REQUESTS_PER_SECOND),
  passedOver: info(
    "placement",
    "A replica is not sent a request that had a place there",
    REQUESTS_PER_SECOND,
  ),
  prefillFailed: warn("prefill", "A prefill failed", FAILURES_PER_SECOND),
  retried: warn("retry", "A request is tried again", FAILURES_PER_SECOND),
  retryDenied: warn("retry", "The budget has no retry", FAILURES_PER_SECOND),
  resumed: warn("retry", "A stream goes on elsewhere", FAILURES_PER_SECOND),
  answered: info("requests", "A request is answered", REQUESTS_PER_SECOND),
  refused: warn("requests", "A request is refused", FAILURES_PER_SECOND),
  failed: warn("requests", "A request failed", FAILURES_PER_SECOND),
  broken: warn("requests", "An answer was broken off", FAILURES_PER_SECOND),
  callerGone: info("requests", "The caller went away", REQUESTS_PER_SECOND),
  crossed: warn(
    "requests",
    "An answer to another request came and was dropped",
    FAILURES_PER_SECOND,
  ),
  stageOrdered: info("stages", "A change of stage is ordered", 20),
} as const;

/** The name of an event. */
export type EventName = keyof typeof EVENT_KINDS;

function info(part: string, sentence: string, perSecond: number): EventKind {
  return { part, sentence, level: "info", perSecond };
}

function warn(part: string, sentence: string, perSecond: number): EventKind {
  return { part, sentence, level: "warn", perSecond };
}
