/**
 * Requests assignments from the planner of a service. The planner is the first
 * candidate in the service's rendezvous order that is this host or has an open
 * link to it.
 */
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { HostEntry } from "../port.ts";
import {
  type Link,
  type LinkEvents,
  type LinkTarget,
  openLink,
} from "../peers/link.ts";
import {
  type ActiveAssignment,
  type Assignment,
  type AssignmentRefusal,
  handoverOf,
  type PlacementRequest,
  planRequestOf,
  type ProgressDetails,
  type RunSummary,
  toAssignment,
  toAssignmentRefusal,
} from "./assignment.ts";
import { KeptSummaries } from "./kept_summaries.ts";
import { LastRatios } from "./last_ratios.ts";
import {
  AssignmentStage,
  type HostMessage,
  type PlannerLine,
  PlannerLineSchema,
  type RatesMessage,
} from "./messages.ts";
import type { PlanService } from "./plan_service.ts";
import { PlannerLinks } from "./planner_links.ts";

type PendingRequest = {
  readonly request: PlacementRequest;
  planner: string;
  resolve(result: Assignment | AssignmentRefusal): void;
};

/** Options of {@link PlannerClient} that have defaults. */
export type PlannerClientOptions = {
  /** Opens a link to a planner. */
  readonly open?: (target: LinkTarget, events: LinkEvents) => Link;
};

/** Requests assignments for this host's requests and reports their progress. */
export class PlannerClient {
  readonly #context: GatewayContext;
  readonly #localPlanner: PlanService;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #active = new Map<string, ActiveAssignment>();
  readonly #links: PlannerLinks;
  /** The planner used last, by service. */
  readonly #planners = new Map<string, string>();
  readonly #summaries = new KeptSummaries();
  /** What planners granted of the requests of customers. */
  readonly ratios = new LastRatios();

  constructor(
    context: GatewayContext,
    localPlanner: PlanService,
    hosts: () => readonly HostEntry[],
    { open = openLink }: PlannerClientOptions = {},
  ) {
    this.#context = context;
    this.#localPlanner = localPlanner;
    this.#links = new PlannerLinks({
      context,
      hosts,
      open: (target, events) =>
        open({ ...target, metrics: context.metrics }, events),
      onLine: (from, text) => this.#receiveLine(from, text),
      onClosed: (host, { wasReady }) => this.#linkClosed(host, wasReady),
      inUse: () => this.#plannersInUse(),
    });
    localPlanner.attach(
      context.self.id,
      (message) => this.#receive(context.self.id, message),
    );
  }

  /** Requests an assignment; `cancel` ends the wait. */
  request(request: PlacementRequest): {
    readonly result: Promise<Assignment | AssignmentRefusal>;
    cancel(): void;
  } {
    const planner = this.plannerOf(request.service);
    const result = new Promise<Assignment | AssignmentRefusal>((resolve) => {
      this.#pending.set(request.id, { request, planner, resolve });
    });
    this.#sendRequest(planner, request);
    return { result, cancel: () => this.#cancel(request.id) };
  }

  /** Assigns a request to a replica that has already reserved memory for it. */
  adopt(request: PlacementRequest, decode: string): void {
    const { id, service } = request;
    const planner = this.plannerOf(service);
    const assignment = { request, decode, events: 0, runMs: 0, planner };
    this.#active.set(id, assignment);
    this.#send(planner, handoverOf(id, assignment));
  }

  /** Reports that the assigned replica prefilled the prompt in `spentMs`. */
  prefilled(id: string, spentMs: Milliseconds): void {
    this.#report(id, AssignmentStage.prefilled, { spentMs });
  }

  /** Reports that the assigned replica did not prefill the prompt. */
  prefillFailed(id: string): void {
    this.#report(id, AssignmentStage.prefillFailed);
  }

  /** Reports that the decode replica could not fetch the export. */
  exportLost(id: string): void {
    this.#release(id, AssignmentStage.exportLost);
  }

  /** Reports that the decode replica did not accept the request. */
  failed(id: string, details: Pick<ProgressDetails, "isError"> = {}): void {
    this.#release(id, AssignmentStage.failed, details);
  }

  /**
   * Reports that the decode replica had no memory, or that its limit has no
   * room for `retryAfterMs`.
   */
  refused(id: string, retryAfterMs?: Milliseconds): void {
    const details = retryAfterMs === undefined ? {} : { retryAfterMs };
    this.#release(id, AssignmentStage.refused, details);
  }

  /**
   * Reports that the limit of the prefill replica has no room for
   * `retryAfterMs`.
   */
  prefillLimited(id: string, retryAfterMs: Milliseconds): void {
    this.#report(id, AssignmentStage.prefillLimited, { retryAfterMs });
  }

  /** Reports the first event, `firstEventMs` after the send. */
  started(id: string, firstEventMs: Milliseconds): void {
    this.#report(id, AssignmentStage.started, { firstEventMs });
  }

  /** Reports the events received so far, over `runMs` since the first one. */
  running(id: string, run: { events: number; runMs: Milliseconds }): void {
    const assignment = this.#active.get(id);
    if (!assignment) return;
    assignment.events = run.events;
    assignment.runMs = run.runMs;
    this.#report(id, AssignmentStage.running, run);
  }

  /** Reports that the caller holds the response up: no more times follow. */
  heldUp(id: string): void {
    this.#report(id, AssignmentStage.running);
  }

  /**
   * Reports the complete response and its duration, if it was measured, and
   * releases the assignment.
   */
  answered(id: string, run: RunSummary = {}): void {
    this.#release(id, AssignmentStage.answered, run);
  }

  /** Releases the assignment; `run` is that of an overtaken plain call. */
  ended(id: string, run: Pick<RunSummary, "runMs"> = {}): void {
    this.#release(id, AssignmentStage.ended, run);
  }

  /** The current planner of a service; no request waits for a link. */
  plannerOf(service: string): string {
    const planner = this.#links.choose(service);
    const before = this.#planners.get(service);
    this.#planners.set(service, planner);
    if (before !== undefined && before !== planner) {
      this.#context.events.note("plannerChanged", { service, planner, before });
      this.#handOverRates(service, { planner, before });
      this.#handOverAll(service, planner);
    }
    return planner;
  }

  #plannersInUse(): string[] {
    return [...this.#pending.values(), ...this.#active.values()]
      .map(({ planner }) => planner);
  }

  /** Sends the estimates of the earlier planner to the new one. */
  #handOverRates(
    service: string,
    { planner, before }: { readonly planner: string; readonly before: string },
  ): void {
    const { clock, self } = this.#context;
    const own = before === self.id
      ? this.#localPlanner.summaryOf(service)
      : undefined;
    const message = own ?? this.#summaries.get(service, clock.now());
    if (message) this.#send(planner, message);
  }

  /** Moves the assignments of a service to the ledger of its new planner. */
  #handOverAll(service: string, planner: string): void {
    for (const [id, assignment] of this.#active) {
      if (assignment.request.service === service) {
        this.#handOver(id, assignment, planner);
      }
    }
  }

  #handOver(id: string, assignment: ActiveAssignment, planner: string): void {
    if (assignment.planner === planner) return;
    const stage = AssignmentStage.ended;
    this.#send(assignment.planner, { type: "progress", id, stage });
    this.#send(planner, handoverOf(id, assignment));
    assignment.planner = planner;
  }

  #linkClosed(host: string, wasReady: boolean): void {
    const { events } = this.#context;
    if (wasReady) events.note("plannerLost", { planner: host });
    for (const service of this.#planners.keys()) this.plannerOf(service);
    for (const pending of this.#pending.values()) {
      if (pending.planner !== host) continue;
      pending.planner = this.plannerOf(pending.request.service);
      this.#sendRequest(pending.planner, pending.request);
    }
  }

  #cancel(id: string): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#pending.delete(id);
    const stage = AssignmentStage.ended;
    this.#send(pending.planner, { type: "progress", id, stage });
    pending.resolve({ reason: "cancelled" });
  }

  #release(
    id: string,
    stage: AssignmentStage,
    details: ProgressDetails = {},
  ): void {
    this.#report(id, stage, details);
    this.#active.delete(id);
  }

  /** Reports the progress of a request to the planner of its assignment. */
  #report(
    id: string,
    stage: AssignmentStage,
    details: ProgressDetails = {},
  ): void {
    const assignment = this.#active.get(id);
    if (!assignment) return;
    this.#send(assignment.planner, { type: "progress", id, stage, ...details });
  }

  #sendRequest(planner: string, request: PlacementRequest): void {
    const { clock, self } = this.#context;
    const now = clock.now();
    this.#send(planner, planRequestOf(request, self.hall, now));
  }

  #send(planner: string, message: HostMessage): void {
    const { self } = this.#context;
    if (planner === self.id) return this.#localPlanner.handle(self.id, message);
    this.#links.send(planner, message);
  }

  #receiveLine(from: string, text: string): void {
    const message = readJson(PlannerLineSchema, text);
    if (message) this.#receive(from, message);
  }

  #keepSummary(from: string, message: RatesMessage): void {
    if (this.#planners.get(message.service) !== from) return;
    this.#summaries.keep(message, this.#context.clock.now());
  }

  #receive(from: string, message: PlannerLine): void {
    if (message.type === "ping") return;
    if (message.type === "rates") return this.#keepSummary(from, message);
    const { id } = message;
    const pending = this.#pending.get(id);
    if (!pending || pending.planner !== from) return;
    this.#pending.delete(id);
    if (message.type === "refusal") {
      return pending.resolve(toAssignmentRefusal(from, message));
    }
    const { decode } = message;
    const { request } = pending;
    const assignment = { request, decode, events: 0, runMs: 0, planner: from };
    this.#active.set(id, assignment);
    this.#handOver(id, assignment, this.plannerOf(request.service));
    pending.resolve(toAssignment(message));
  }
}
