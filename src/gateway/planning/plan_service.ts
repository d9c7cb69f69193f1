/** This host's planner, for itself and for the hosts that link to it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import { acceptLink, type Link, LINK_HOST_HEADER } from "../peers/link.ts";
import {
  type HostMessage,
  HostMessageSchema,
  type PlannerMessage,
} from "./messages.ts";
import { Planner } from "./planner.ts";
import type { StageLoad } from "./view.ts";

/** The queue is gone through again after this time when nothing happens. */
const PASS_MS = 20;
/** A queue this long is gone through for several messages at once. */
const LONG_QUEUE = 16;
const LONG_PASS_MS = 3;

/** Carries messages between the planner and the hosts. */
export class PlanService {
  readonly #context: GatewayContext;
  readonly #planner: Planner;
  readonly #hosts = new Map<string, (message: PlannerMessage) => void>();
  #passing = false;
  /**
   * Replicas that were ordered to change, with the stage that they change to:
   * they take no work until they are listed with it.
   */
  readonly changing = new Map<string, ReplicaStage>();

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#planner = new Planner({
      replicasOf: (service) =>
        context.replicas.openOf(service).map((one) => one.entry)
          .filter((one) => !this.#isChanging(one)),
      memoryOf: (service) =>
        (context.routes.service(service)?.engine?.cacheTokens ?? 0) *
        context.tuning.memoryShare,
      isPaused: (incarnation) =>
        context.replicas.get(incarnation)?.paused(context.clock.now()) ?? false,
      limitOf: (incarnation) => context.limits.limitOf(incarnation),
      noteFailure: (incarnation, now) =>
        context.replicas.get(incarnation)?.noteFailure(now, false),
      noteTry: (incarnation, now) =>
        context.replicas.get(incarnation)?.noteTry(now),
      noteSuccess: (incarnation) =>
        context.replicas.get(incarnation)?.noteSuccess(),
      random: context.random,
      farCharge: context.tuning.farCharge,
    });
  }

  #isChanging({ incarnation, stage }: ReplicaEntry): boolean {
    const wanted = this.changing.get(incarnation);
    return wanted !== undefined && stage !== wanted;
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#planner.waiting;
  }

  /** How busy the two stages of a service are. */
  loadOf(service: string): StageLoad {
    return this.#planner.loadOf(service, this.#context.clock.now());
  }

  /** Where answers for a host go. */
  attach(host: string, answer: (message: PlannerMessage) => void): void {
    this.#hosts.set(host, answer);
  }

  /** Takes a host's message. */
  take(from: string, message: HostMessage): void {
    const now = this.#context.clock.now();
    switch (message.type) {
      case "ask":
        this.#planner.enqueue(from, message, now);
        break;
      case "keep":
        this.#planner.restore(from, message, now);
        break;
      case "progress":
        this.#planner.report(message, now);
        break;
      case "ping":
        return;
    }
    const isLong = this.#planner.waiting > LONG_QUEUE;
    this.#passSoon(isLong ? LONG_PASS_MS : 0);
  }

  /** Serves a link that a host has opened. */
  accept(incoming: IncomingMessage, answer: ServerResponse): void {
    const name = String(incoming.headers[LINK_HOST_HEADER] ?? "");
    answer.writeHead(200, { "Content-Type": "application/x-ndjson" });
    answer.flushHeaders();
    const { clock } = this.#context;
    const reply = (message: PlannerMessage) => link.send(message);
    const link: Link = acceptLink(incoming, answer, {
      clock,
      events: {
        line: (text) => this.#takeLine(name, text),
        closed: () => {
          // A newer link of the same host may have taken its place.
          if (this.#hosts.get(name) !== reply) return;
          this.#hosts.delete(name);
          this.#planner.lose(name, clock.now());
        },
      },
    });
    this.attach(name, reply);
  }

  #takeLine(from: string, text: string): void {
    const message = readJson(HostMessageSchema, text);
    if (message) this.take(from, message);
  }

  #passSoon(delayMs: Milliseconds): void {
    if (this.#passing) return;
    this.#passing = true;
    const run = () => {
      this.#passing = false;
      this.#pass();
    };
    if (delayMs === 0) queueMicrotask(run);
    else this.#context.clock.after(delayMs, run);
  }

  #pass(): void {
    for (
      const { to, message } of this.#planner.pass(this.#context.clock.now())
    ) {
      this.#hosts.get(to)?.(message);
    }
    if (this.#planner.waiting > 0) this.#passSoon(PASS_MS);
  }
}
