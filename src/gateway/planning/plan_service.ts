/** This host's planner, for its own requests and those of linked hosts. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { evictOldest } from "../../util/evict_oldest.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { LabelledGauge } from "../observe/metrics.ts";
import type { ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import { acceptLink, type Link, LINK_HOST_HEADER } from "../peers/link.ts";
import { RUN_HEADER } from "../peers/peer_process.ts";
import {
  AssignmentStage,
  type HostMessage,
  HostMessageSchema,
  type PlannerLine,
  type RatesMessage,
} from "./messages.ts";
import {
  customerGauges,
  MAX_CUSTOMER_METRICS,
} from "../customers/customer_metrics.ts";
import {
  type MemoryReportsOptions,
  runMemoryReports,
} from "./memory_reports.ts";
import { keepRunning } from "../keep_running.ts";
import { MemoryPressure } from "./memory_pressure.ts";
import { PassSchedule } from "./pass_schedule.ts";
import { rateGauges } from "./rate_gauges.ts";
import { Planner } from "./planner.ts";
import { createPlannerParts } from "./planner_parts.ts";
import type { RateHandover } from "./rate_handover.ts";
import { SummaryKeepers } from "./summary_keepers.ts";
import type { StageMeter } from "../stages/demand.ts";
import type { PlannerView, StageLoad } from "./view.ts";

/** Bounds the gauge of reported failures. */
const MAX_REPORTING_HOSTS = 50;

/** Carries messages between the planner and the hosts. */
export class PlanService {
  readonly #context: GatewayContext;
  readonly #planner: Planner;
  readonly #rateHandover: RateHandover;
  readonly #keepers = new SummaryKeepers();
  /**
   * Sends messages to the processes of hosts, by host and run. A host may have
   * two: one that drains, and the next one.
   */
  readonly #processes = new Map<string, (message: PlannerLine) => void>();
  /** Reports, by host, that a replica did not serve a request. */
  readonly #failuresByHost = new Map<string, number>();
  readonly #memoryPressure = new MemoryPressure();
  readonly #passes: PassSchedule;
  /**
   * Replicas that were ordered to change stage, with their new stage: they get
   * no work until they are listed with it.
   */
  readonly changing = new Map<string, ReplicaStage>();

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#passes = new PassSchedule({
      clock: context.clock,
      pass: () => this.#pass(),
      waiting: () => this.#planner.waiting,
    });
    const view: PlannerView = {
      replicasOf: (service) =>
        context.replicas.openReplicasOf(service).map((replica) => replica.entry)
          .filter((entry) => !this.#isChanging(entry)),
      memoryOf: (service) => this.#memoryOf(service),
      isPaused: (incarnation) =>
        context.replicas.get(incarnation)?.isPaused(context.clock.now()) ??
          false,
      limitOf: (incarnation) => context.limits.limitOf(incarnation),
      noteFailure: (incarnation, now) =>
        context.replicas.get(incarnation)?.noteFailure(now, false),
      noteTrial: (incarnation, now) =>
        context.replicas.get(incarnation)?.noteTrial(now),
      noteSuccess: (incarnation) =>
        context.replicas.get(incarnation)?.noteSuccess(),
      random: context.random,
      remoteHallPenalty: context.tuning.remoteHallPenalty,
      // Read anew each time, since a reload of the settings replaces it.
      get scheduling() {
        return context.tuning.scheduling;
      },
      events: context.events,
      metrics: context.metrics,
      weightOf: (customer) => context.routes.customers?.weightOf(customer) ?? 1,
    };
    const parts = createPlannerParts(view);
    this.#planner = new Planner(view, parts);
    this.#rateHandover = parts.rateHandover;
  }

  /** Memory that reservations may fill at a decode replica, in tokens. */
  #memoryOf(service: string): number {
    const { tuning } = this.#context;
    const memory = this.#capacityOf(service) * tuning.memoryShare;
    return tuning.scheduling.measuredMemory
      ? memory * this.#memoryPressure.factor(service)
      : memory;
  }

  /** Memory of a decode replica, in tokens; 0 for a plain service. */
  #capacityOf(service: string): number {
    return this.#context.routes.service(service)?.engine?.cacheTokens ?? 0;
  }

  /** Requests reports of the memory of the services that this host plans. */
  startMemoryReports(plannerOf: (service: string) => string): void {
    const context = this.#context;
    const isPlanned = (service: string) =>
      plannerOf(service) === context.self.id;
    const options: MemoryReportsOptions = {
      context,
      isEnabled: () => context.tuning.scheduling.measuredMemory,
      services: () =>
        (context.routes.config?.services ?? [])
          .filter(({ name, engine }) => engine && isPlanned(name))
          .map(({ name }) => name),
      capacityOf: (service) => this.#capacityOf(service),
      reservationsOf: (service) =>
        this.#planner.assigned.reservationsOf(service),
      onRound: (services) => this.#memoryPressure.retain(services),
      onReports: (service, usedShares) =>
        this.#memoryPressure.note(service, usedShares),
    };
    void keepRunning(() => runMemoryReports(options), context);
  }

  #isChanging({ incarnation, stage }: ReplicaEntry): boolean {
    const desired = this.changing.get(incarnation);
    return desired !== undefined && stage !== desired;
  }

  /** Requests that wait for an assignment. */
  get waiting(): number {
    return this.#planner.waiting;
  }

  /** Metrics of the replicas and the customers of the planned services. */
  gauges(): LabelledGauge[] {
    const now = this.#context.clock.now();
    const customers = this.#planner.mostActiveCustomers(
      MAX_CUSTOMER_METRICS,
      now,
    );
    return [
      ...rateGauges(this.#planner.measuredRates, now),
      ...customerGauges(customers),
      reportedFailuresGauge(this.#failuresByHost),
      this.#memoryPressure.gauge(),
    ];
  }

  /** Memory assigned by this planner, in tokens. */
  get memoryByUse(): { readonly running: number; readonly reserved: number } {
    return this.#planner.assigned.memoryByUse();
  }

  /** Utilization of the two stages of a service. */
  loadOf(service: string): StageLoad {
    return this.#planner.loadOf(service, this.#context.clock.now());
  }

  /** Measures demand and capacities, if stages are balanced by them. */
  get stageMeter(): StageMeter {
    const { clock } = this.#context;
    return {
      isEnabled: () => this.#context.tuning.scheduling.measuredSplit,
      measure: (service, replicas) =>
        this.#planner.measureStages(service, replicas, clock.now()),
    };
  }

  /** Registers the function that sends the planner's messages to a process. */
  attach(process: string, send: (message: PlannerLine) => void): void {
    this.#processes.set(process, send);
  }

  /** Handles a message from a process of a host. */
  handle(from: string, message: HostMessage, host = from): void {
    const now = this.#context.clock.now();
    switch (message.type) {
      case "ask":
        this.#planner.enqueue(from, message, now);
        if (from !== this.#context.self.id) this.#sendSummary(from, message);
        break;
      case "keep":
        this.#planner.restore(from, message, now);
        break;
      case "progress":
        if (message.stage === AssignmentStage.failed) this.#noteFailure(host);
        this.#planner.report(message, now);
        break;
      case "rates":
        return this.#rateHandover.receive({ ...message, from }, now);
      case "ping":
        return;
    }
    this.#passes.noteMessage(message);
  }

  /** This planner's estimates of a service; undefined if it has none. */
  summaryOf(service: string): RatesMessage | undefined {
    const now = this.#context.clock.now();
    const summary = this.#rateHandover.summaryOf(service, now);
    return summary && { type: "rates", service, ageMs: 0, summary };
  }

  /** Sends a summary to the hosts that are due to get one. */
  #sendSummary(
    host: string,
    { service, hall }: { readonly service: string; readonly hall: string },
  ): void {
    if (!this.#rateHandover.isEnabled) return;
    const now = this.#context.clock.now();
    this.#keepers.noteRequest(service, { host, hall }, now);
    const keepers = this.#keepers.due(service, now);
    if (keepers.length === 0) return;
    const message = this.summaryOf(service);
    const bytes = message ? JSON.stringify(message).length : 0;
    this.#keepers.noteSent(service, bytes * keepers.length, now);
    if (!message) return;
    this.#context.metrics.count("rate_summary_bytes", bytes * keepers.length);
    for (const keeper of keepers) this.#processes.get(keeper)?.(message);
  }

  #noteFailure(host: string): void {
    const before = this.#failuresByHost.get(host) ?? 0;
    this.#failuresByHost.delete(host);
    this.#failuresByHost.set(host, before + 1);
    evictOldest(this.#failuresByHost, MAX_REPORTING_HOSTS);
  }

  /** Serves a link that another host has opened. */
  accept(incoming: IncomingMessage, response: ServerResponse): void {
    const host = String(incoming.headers[LINK_HOST_HEADER] ?? "");
    const process = `${host}@${String(incoming.headers[RUN_HEADER] ?? "")}`;
    response.writeHead(200, { "Content-Type": "application/x-ndjson" });
    response.flushHeaders();
    const { clock, metrics } = this.#context;
    const reply = (message: PlannerLine) => link.send(message);
    const link: Link = acceptLink(incoming, response, {
      clock,
      metrics,
      events: {
        line: (text) => {
          const message = readJson(HostMessageSchema, text);
          if (message) this.handle(process, message, host);
        },
        closed: () => {
          // A newer link of the same process may have replaced this one.
          if (this.#processes.get(process) !== reply) return;
          this.#processes.delete(process);
          this.#planner.noteHostLost(process, clock.now());
        },
      },
    });
    this.attach(process, reply);
  }

  #pass(): void {
    for (
      const { to, message } of this.#planner.pass(this.#context.clock.now())
    ) {
      this.#processes.get(to)?.(message);
    }
  }
}

/**
 * Tells failures that all hosts report from those of a host that has lost its
 * path to the replicas.
 */
function reportedFailuresGauge(
  failuresByHost: ReadonlyMap<string, number>,
): LabelledGauge {
  return {
    name: "planner_failures_reported",
    values: [...failuresByHost].map(([host, value]) => ({
      labels: { host },
      value,
    })),
  };
}
