/**
 * The catalogue of the gateway's log events. docs/OPERATIONS.md describes each
 * event; a test compares the two lists.
 */

import {
  CHANGES_PER_SECOND,
  info,
  REQUESTS_PER_SECOND,
  UNLIMITED,
  warn,
} from "./event_kind.ts";
import { REQUEST_EVENTS } from "./request_events.ts";

/** A host without processor time has one after the other. */
const LATE_ITERATIONS_PER_SECOND = 2;

/** While descriptors are used up, each new connection fails. */
const ACCEPT_FAILURES_PER_SECOND = 2;

export const EVENT_KINDS = {
  started: info(
    "process",
    "The process is serving callers",
    CHANGES_PER_SECOND,
  ),
  listenFailed: warn(
    "process",
    "An address can't be opened; trying again until it can",
    CHANGES_PER_SECOND,
  ),
  listening: info(
    "process",
    "An address that could not be opened is open now",
    CHANGES_PER_SECOND,
  ),
  acceptFailed: warn(
    "process",
    "A connection could not be accepted",
    ACCEPT_FAILURES_PER_SECOND,
  ),
  reloaded: info(
    "process",
    "The settings were reloaded",
    CHANGES_PER_SECOND,
  ),
  reloadRefused: warn(
    "process",
    "The changed settings are invalid; the previous ones stay in force",
    CHANGES_PER_SECOND,
  ),
  unexpectedError: warn(
    "process",
    "An error was not caught; the host goes on serving",
    CHANGES_PER_SECOND,
  ),
  stopping: info(
    "process",
    "The process is stopping and finishes its open requests",
    UNLIMITED,
  ),
  stopped: info("process", "The process has stopped", UNLIMITED),
  stoodStill: warn(
    "process",
    "The process was stalled",
    CHANGES_PER_SECOND,
  ),
  loopLate: warn(
    "process",
    "The event loop was busy for long, so requests and timers waited",
    LATE_ITERATIONS_PER_SECOND,
  ),
  suspended: warn(
    "process",
    "The machine was suspended or its wall clock stepped; reading the store again",
    CHANGES_PER_SECOND,
  ),
  sleepCounted: warn("process", "The machine slept; deadlines count it", 20),
  storeLost: warn(
    "store",
    "The store does not respond",
    CHANGES_PER_SECOND,
  ),
  storeBack: info(
    "store",
    "The store responds again",
    CHANGES_PER_SECOND,
  ),
  storeRestored: warn(
    "store",
    "The store was restored from a backup; its state is adopted again",
    CHANGES_PER_SECOND,
  ),
  listingOlder: warn(
    "store",
    "A listing from the store is older than the current one and was dropped",
    2,
  ),
  callFailed: warn("store", "A call to the store or a peer failed", 5),
  readerChosen: info("store", "Another host was chosen to read the store", 20),
  readerLeft: warn("store", "The data hall's reader can't be used", 20),
  peerState: info("peers", "A peer sent newer state", CHANGES_PER_SECOND),
  configHeard: info("routes", "A newer configuration was announced", 20),
  configAdopted: info("routes", "A configuration was adopted", 20),
  replicaAdded: info(
    "replicas",
    "A replica was added to the listing",
    CHANGES_PER_SECOND,
  ),
  replicaRemoved: info(
    "replicas",
    "A replica was removed from the listing",
    CHANGES_PER_SECOND,
  ),
  replicaLeaving: info(
    "replicas",
    "A replica is draining",
    CHANGES_PER_SECOND,
  ),
  backoffAsked: info(
    "replicas",
    "A replica requested a backoff from this host",
    CHANGES_PER_SECOND,
  ),
  backoffUnreadable: warn(
    "replicas",
    "A replica requested a backoff of unreadable length",
    1,
  ),
  rowUnreadable: warn(
    "replicas",
    "A row of the listing can't be parsed",
    5,
  ),
  replicaRestarted: info(
    "replicas",
    "A replica restarted under the same id",
    CHANGES_PER_SECOND,
  ),
  pathLost: warn(
    "paths",
    "This host does not reach a replica that another host reaches",
    CHANGES_PER_SECOND,
  ),
  replicaUnreachable: warn(
    "paths",
    "Neither this host nor another one that was asked reaches a replica",
    CHANGES_PER_SECOND,
  ),
  pathHealed: info(
    "paths",
    "This host reaches the replica itself again",
    CHANGES_PER_SECOND,
  ),
  tunnelServed: info(
    "paths",
    "A connection of another host to a replica goes through this host",
    CHANGES_PER_SECOND,
  ),
  replicaPaused: warn(
    "replicas",
    "A replica failed and is not used until its pause ends",
    CHANGES_PER_SECOND,
  ),
  replicaCrashed: warn(
    "crashes",
    "A replica crashed under requests of this host",
    CHANGES_PER_SECOND,
  ),
  quarantined: warn(
    "crashes",
    "Replicas crash under a request or a part of prompts; it was quarantined",
    CHANGES_PER_SECOND,
  ),
  quarantineLifted: info(
    "crashes",
    "A request or a part of prompts was released from quarantine",
    CHANGES_PER_SECOND,
  ),
  limitNamed: warn("limits", "A replica announced a rate limit", 5),
  limitEnded: info("limits", "A replica no longer has a rate limit", 5),
  limitUnreadable: warn(
    "limits",
    "A replica's rate limit is not a number; the previous limit stays in force",
    1,
  ),
  limitOwnerLost: warn(
    "limits",
    "An owner of replicas' rate limits is unreachable",
    20,
  ),
  limitReached: info(
    "limits",
    "A replica's rate limit is reached",
    REQUESTS_PER_SECOND,
  ),
  returnRefused: warn(
    "planning",
    "A caller that retried at its booked time was refused again",
    CHANGES_PER_SECOND,
  ),
  plannerLost: warn("planning", "The planner is unreachable", 20),
  plannerChanged: info(
    "planning",
    "Another host became the planner of a service",
    20,
  ),
  ratesHandedOver: info(
    "planning",
    "This host adopted what another planner has measured of a service",
    CHANGES_PER_SECOND,
  ),
  replicaEjected: warn(
    "planning",
    "A replica does far worse than its pool and gets no more work for a while",
    CHANGES_PER_SECOND,
  ),
  replicaReturned: info(
    "planning",
    "An ejected replica did well in its trials and gets work again",
    CHANGES_PER_SECOND,
  ),
  admissionRevoked: warn(
    "planning",
    "An admitted request can't be served since replicas were lost",
    20,
  ),
  customerHeld: info(
    "planning",
    "A customer is held to its share of an overloaded service",
    5,
  ),
  customerReleased: info(
    "planning",
    "A customer is no longer held to its share of a service",
    5,
  ),
  quotaOwnerLost: warn("quotas", "An owner of quotas is unreachable", 20),
  quotaHeld: info(
    "quotas",
    "Requests of a customer are refused to leave its quota to others of it",
    5,
  ),
  quotaReleased: info(
    "quotas",
    "Requests of a customer no longer leave its quota to others of it",
    5,
  ),
  ...REQUEST_EVENTS,
  splitWanted: info(
    "stages",
    "The measured demand calls for a change of stage",
    20,
  ),
  stageOrdered: info("stages", "A change of stage was ordered", 20),
} as const;

/** The name of an event. */
export type EventName = keyof typeof EVENT_KINDS;
