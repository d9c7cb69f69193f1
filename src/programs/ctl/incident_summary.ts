/**
 * Summarizes the logs of several hosts: which requests failed in a time window,
 * and which changes of state may be the cause.
 */
import type { EventName } from "../../gateway/observe/event_names.ts";
import type { GatewayError } from "../../gateway/answers.ts";
import type { UnfinishedState } from "../../gateway/callers/unfinished_requests.ts";
import { parseLogLine } from "./request_log.ts";
import { formatTable } from "./table.ts";

/** A time window; ISO 8601, both ends inclusive. */
export type TimeWindow = {
  readonly from?: string | undefined;
  readonly to?: string | undefined;
};

/** Events of one kind in the window. */
export type EventCount = {
  readonly event: string;
  /** Includes lines that the log's rate limits left out. */
  readonly count: number;
  readonly hosts: number;
  /** What most lines are about, such as replicas, the most frequent first. */
  readonly subjects: readonly string[];
};

/** Requests that ended with the same error on the same route. */
export type FailureGroup = {
  readonly event: string;
  readonly error: string;
  readonly route: string;
  readonly requests: number;
  readonly hosts: number;
  readonly firstAt: string;
  readonly lastAt: string;
  /** The id of one of the requests. */
  readonly example: string;
  /** Changes of state that explain this error, the most frequent first. */
  readonly causes: readonly EventCount[];
};

/** What failed in a time window, and what changed. */
export type IncidentSummary = {
  readonly failures: readonly FailureGroup[];
  readonly changes: readonly EventCount[];
};

/** Events by which requests end without a complete response. */
const FAILURE_EVENTS: ReadonlySet<string> = new Set<EventName>([
  "refused",
  "failed",
  "broken",
  "unfinished",
]);

const REPLICA_LOSSES: readonly EventName[] = [
  "replicaRemoved",
  "replicaLeaving",
  "replicaCrashed",
  "replicaPaused",
  "replicaUnreachable",
  "pathLost",
];
const CAPACITY_LOSSES: readonly EventName[] = [
  ...REPLICA_LOSSES,
  "replicaEjected",
  "stageOrdered",
  "backoffAsked",
  "limitNamed",
  "customerHeld",
  "plannerLost",
];

/**
 * Changes of state that may cause an error, or leave a request in the state that
 * a stopping host names.
 */
const CAUSES: Readonly<
  Partial<Record<GatewayError | UnfinishedState, readonly EventName[]>>
> = {
  no_config: ["started", "storeLost", "callFailed"],
  stale_routes: ["configHeard", "callFailed"],
  stale_keys: ["storeLost", "suspended", "stoodStill"],
  over_quota: ["quotaHeld"],
  quota_unknown: ["quotaOwnerLost", "suspended"],
  no_replica: REPLICA_LOSSES,
  no_memory: CAPACITY_LOSSES,
  busy: [...CAPACITY_LOSSES, "admissionRevoked"],
  limited: ["limitReached", "limitNamed", "limitOwnerLost"],
  backing_off: ["backoffAsked"],
  refused_by_replicas: ["retryDenied", "backoffAsked", "limitNamed"],
  crashes_replicas: ["quarantined", "replicaCrashed"],
  stream_version_unknown: ["streamVersionUnknown", "callFailed", "started"],
  stream_version_gone: ["replicaRemoved", "replicaLeaving"],
  stopping: ["stopping"],
  queued: ["stopping"],
  waiting: ["stopping"],
  running: ["stopping", ...REPLICA_LOSSES],
  unsent: ["stopping"],
  out_of_time_not_run: CAPACITY_LOSSES,
  out_of_time: [...REPLICA_LOSSES, "replicaEjected", "stoodStill"],
  outcome_unknown: [...REPLICA_LOSSES, "retryDenied"],
};

/** Changes of state that are listed whatever failed. */
const LISTED_CHANGES: ReadonlySet<string> = new Set<EventName>([
  ...CAPACITY_LOSSES,
  "started",
  "stopping",
  "stoodStill",
  "suspended",
  "storeLost",
  "storeRestored",
  "readerLeft",
  "callFailed",
  "plannerChanged",
  "quotaOwnerLost",
  "limitOwnerLost",
  "quarantined",
  "retryDenied",
]);

/** Fields that name what an event is about, by precedence. */
const SUBJECT_FIELDS = [
  "replica",
  "customer",
  "planner",
  "owner",
  "reader",
  "peer",
  "service",
  "call",
] as const;

const MAX_SUBJECTS = 3;
const MAX_CAUSES = 3;

type LogRecord = Readonly<Record<string, unknown>>;

function timeOf(record: LogRecord): string {
  return String(record["time"] ?? "");
}

/** The error of a request, or the state that it was left in. */
function errorOf({ error, state }: LogRecord): unknown {
  return error ?? state;
}

/** Counts lines of one kind. */
class Counter {
  count = 0;
  readonly hosts = new Set<string>();
  readonly #subjects = new Map<string, number>();

  add(record: LogRecord): void {
    const leftOut = Number(record["left_out"] ?? 0);
    this.count += 1 + (Number.isFinite(leftOut) ? leftOut : 0);
    this.hosts.add(String(record["host"] ?? ""));
    const field = SUBJECT_FIELDS.find((name) => record[name] !== undefined);
    if (field === undefined) return;
    const subject = String(record[field]);
    this.#subjects.set(subject, (this.#subjects.get(subject) ?? 0) + 1);
  }

  /** The most frequent subjects. */
  get subjects(): string[] {
    return [...this.#subjects].sort(([, a], [, b]) => b - a)
      .slice(0, MAX_SUBJECTS).map(([subject]) => subject);
  }
}

/** Requests of one group. */
class FailureCounter extends Counter {
  /** The record that was added first; lines may come in any order. */
  readonly #sample: LogRecord;
  #firstAt: string;
  #lastAt: string;

  constructor(sample: LogRecord) {
    super();
    this.#sample = sample;
    this.#firstAt = this.#lastAt = timeOf(sample);
  }

  get error(): string {
    return String(errorOf(this.#sample) ?? "");
  }

  override add(record: LogRecord): void {
    super.add(record);
    const time = timeOf(record);
    if (time < this.#firstAt) this.#firstAt = time;
    if (time > this.#lastAt) this.#lastAt = time;
  }

  toGroup(causes: readonly EventCount[]): FailureGroup {
    return {
      event: String(this.#sample["event"]),
      error: this.error,
      route: String(this.#sample["route"] ?? ""),
      requests: this.count,
      hosts: this.hosts.size,
      firstAt: this.#firstAt,
      lastAt: this.#lastAt,
      example: String(this.#sample["request"] ?? ""),
      causes,
    };
  }
}

/**
 * Collects log lines one by one, in any order, so that logs of any size can be
 * summarized. Ignores lines that aren't JSON or outside the window.
 */
export class IncidentLog {
  readonly #window: TimeWindow;
  readonly #failures = new Map<string, FailureCounter>();
  readonly #changes = new Map<string, Counter>();

  constructor(window: TimeWindow = {}) {
    this.#window = window;
  }

  /** Adds a line. */
  add(line: string): void {
    const record = parseLogLine(line);
    if (!record || !this.#isInWindow(timeOf(record))) return;
    const event = String(record["event"] ?? "");
    if (FAILURE_EVENTS.has(event)) return this.#addFailure(event, record);
    const counter = this.#changes.get(event) ?? new Counter();
    this.#changes.set(event, counter);
    counter.add(record);
  }

  #addFailure(event: string, record: LogRecord): void {
    const { route } = record;
    const key = JSON.stringify([event, errorOf(record), route]);
    const counter = this.#failures.get(key) ?? new FailureCounter(record);
    this.#failures.set(key, counter);
    counter.add(record);
  }

  #isInWindow(time: string): boolean {
    const { from, to } = this.#window;
    return (from === undefined || time >= from) &&
      (to === undefined || time <= to);
  }

  /** The summary of the lines so far; what is most frequent comes first. */
  summary(): IncidentSummary {
    const failures = [...this.#failures.values()]
      .map((counter) => counter.toGroup(this.#causesOf(counter.error)))
      .sort((a, b) => b.requests - a.requests);
    const changes = this.#countsOf([...this.#changes.keys()])
      .filter(({ event }) => LISTED_CHANGES.has(event));
    return { failures, changes };
  }

  #causesOf(error: string): EventCount[] {
    const events = (CAUSES as Readonly<Record<string, readonly string[]>>)[
      error
    ];
    return this.#countsOf(events ?? []).slice(0, MAX_CAUSES);
  }

  #countsOf(events: readonly string[]): EventCount[] {
    return events.flatMap((event) => {
      const counter = this.#changes.get(event);
      if (!counter) return [];
      const { count, hosts, subjects } = counter;
      return [{ event, count, hosts: hosts.size, subjects }];
    }).sort((a, b) => b.count - a.count);
  }
}

/** Formats a summary as text. */
export function formatIncident(
  { failures, changes }: IncidentSummary,
): string {
  if (failures.length === 0 && changes.length === 0) {
    return "No request failed, and nothing changed";
  }
  const failureRows = failures.map((group) => [
    String(group.requests),
    group.event,
    group.error,
    group.route,
    String(group.hosts),
    group.firstAt,
    group.lastAt,
    group.example,
    group.causes.map(formatCause).join(", "),
  ]);
  const changeRows = changes.map(({ event, count, hosts, subjects }) => [
    String(count),
    event,
    String(hosts),
    subjects.join(" "),
  ]);
  return [
    formatTable([
      "requests",
      "outcome",
      "error",
      "route",
      "hosts",
      "first",
      "last",
      "example",
      "possible causes",
    ], failureRows),
    "",
    formatTable(["lines", "change", "hosts", "most about"], changeRows),
  ].join("\n");
}

function formatCause({ event, count, subjects }: EventCount): string {
  const about = subjects.length > 0 ? ` (${subjects.join(" ")})` : "";
  return `${event} ${count}${about}`;
}
