/**
 * Asks the planner of a service for places. The planner is the first host in
 * the service's rendezvous order to which a link stands; a host that reaches
 * no other plans for itself.
 */
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { HostEntry } from "../port.ts";
import { HostOrders } from "../peers/host_order.ts";
import { type Link, LinkPath, openLink } from "../peers/link.ts";
import {
  type HostMessage,
  PlaceStage,
  type PlannerMessage,
  PlannerMessageSchema,
  type PlanProgress,
  type PlanRefusal,
  type RefusalBasis,
} from "./messages.ts";
import type { PlanService } from "./plan_service.ts";

/** A host whose link broke is not tried again for this time. */
const SUSPECT_MS = 800;

/** A request that wants a place. */
export type PlacementRequest = {
  readonly id: string;
  readonly service: string;
  readonly tokens: number;
  readonly promptTokens: number;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly dueAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  /** Names the prompt, to know a request that comes back. */
  readonly key: string;
  /** Longest time to come back that its caller heeds. */
  readonly longestRetryMs: Milliseconds;
  /** An earlier send may have run: the request goes before new ones. */
  readonly begun: boolean;
  /** The decode replica is to read the prompt itself. */
  readonly whole: boolean;
  readonly excluded: ReadonlySet<string>;
};

/** A place, by the replicas' incarnations. */
export type Place = { readonly decode: string; readonly prefill?: string };

/** Why there is no place. */
export type NoPlace = {
  readonly reason: "no-replica" | "no-memory" | "busy" | "cancelled";
  readonly retryAfterMs?: Milliseconds;
  /** The planner that said so, and what it went by. */
  readonly planner?: string;
  readonly basis?: RefusalBasis;
};

type Pending = {
  readonly request: PlacementRequest;
  planner: string;
  resolve(result: Place | NoPlace): void;
};

type ReportFields = Pick<PlanProgress, "spentMs" | "retryAfterMs">;

type Held = {
  readonly service: string;
  readonly decode: string;
  readonly tokens: number;
  /** The planner that has it in its ledger. */
  planner: string;
};

type PlannerLink = {
  readonly link: Link;
  /** The other side has answered. */
  ready: boolean;
};

/** This host's placement requests and places. */
export class Places {
  readonly #context: GatewayContext;
  readonly #own: PlanService;
  readonly #hosts: () => readonly HostEntry[];
  readonly #pending = new Map<string, Pending>();
  readonly #held = new Map<string, Held>();
  readonly #links = new Map<string, PlannerLink>();
  readonly #suspects = new Map<string, Milliseconds>();
  /** The planner used last, by service. */
  readonly #planners = new Map<string, string>();
  readonly #orders: HostOrders;

  constructor(
    context: GatewayContext,
    own: PlanService,
    hosts: () => readonly HostEntry[],
  ) {
    this.#context = context;
    this.#own = own;
    this.#hosts = hosts;
    this.#orders = new HostOrders(context.self.id);
    own.attach(
      context.self.id,
      (message) => this.#take(context.self.id, message),
    );
  }

  /** Waits for a place; `cancel` ends the wait. */
  find(request: PlacementRequest): {
    readonly result: Promise<Place | NoPlace>;
    cancel(): void;
  } {
    const planner = this.plannerOf(request.service);
    const result = new Promise<Place | NoPlace>((resolve) => {
      this.#pending.set(request.id, { request, planner, resolve });
    });
    this.#ask(planner, request);
    return { result, cancel: () => this.#cancel(request.id) };
  }

  /** The request's prompt was read at the planned replica in `spentMs`. */
  prefilled(id: string, spentMs: Milliseconds): void {
    this.#report(id, PlaceStage.prefilled, { spentMs });
  }

  /** The planned replica did not read the prompt. */
  prefillFailed(id: string): void {
    this.#report(id, PlaceStage.prefillFailed);
  }

  /** The decode replica could not have the finished prefill. */
  exportLost(id: string): void {
    this.#giveBack(id, PlaceStage.exportLost);
  }

  /** The decode replica did not take the request. */
  failed(id: string): void {
    this.#giveBack(id, PlaceStage.failed);
  }

  /**
   * The place was of no use: its replica had no memory, or its limit has no
   * room before `retryAfterMs`.
   */
  refused(id: string, retryAfterMs?: Milliseconds): void {
    const more = retryAfterMs === undefined ? {} : { retryAfterMs };
    this.#giveBack(id, PlaceStage.refused, more);
  }

  /** The limit of the planned prefill replica has no room before then. */
  prefillLimited(id: string, retryAfterMs: Milliseconds): void {
    this.#report(id, PlaceStage.prefillLimited, { retryAfterMs });
  }

  /** The request's whole answer came; the place is free again. */
  answered(id: string): void {
    this.#giveBack(id, PlaceStage.answered);
  }

  /** The place is free again. */
  ended(id: string): void {
    this.#giveBack(id, PlaceStage.ended);
  }

  /**
   * The planner of a service now. Links to those that come before it are
   * opened beside; nobody waits for them.
   */
  plannerOf(service: string): string {
    const planner = this.#bestPlanner(service);
    const before = this.#planners.get(service);
    this.#planners.set(service, planner);
    if (before !== undefined && before !== planner) {
      this.#context.events.note("plannerChanged", { service, planner, before });
      this.#rehome(service, planner);
    }
    return planner;
  }

  #bestPlanner(service: string): string {
    const now = this.#context.clock.now();
    const { self } = this.#context;
    const hosts = this.#hosts();
    for (const id of this.#orders.of(service, hosts)) {
      if (id === self.id) return id;
      const known = this.#links.get(id);
      if (known?.ready) return id;
      const host = hosts.find((one) => one.id === id);
      const suspect = (this.#suspects.get(id) ?? 0) > now;
      if (host && !known && !suspect) this.#open(host);
    }
    return self.id;
  }

  #open(host: HostEntry): void {
    const { clock, self } = this.#context;
    const target = {
      address: host.address,
      path: LinkPath.plan,
      self: self.id,
      clock,
    };
    const link = openLink(target, {
      ready: () => {
        const known = this.#links.get(host.id);
        if (known) known.ready = true;
      },
      line: (text) => this.#takeLine(host.id, text),
      closed: () => this.#lost(host.id),
    });
    this.#links.set(host.id, { link, ready: false });
  }

  /** Places of the service move to the ledger of its new planner. */
  #rehome(service: string, planner: string): void {
    for (const [id, held] of this.#held) {
      if (held.service === service) this.#rehomeOne(id, held, planner);
    }
  }

  #rehomeOne(id: string, held: Held, planner: string): void {
    if (held.planner === planner) return;
    const stage = PlaceStage.ended;
    this.#send(held.planner, { type: "progress", id, stage });
    const { decode, tokens } = held;
    this.#send(planner, { type: "keep", id, decode, tokens });
    held.planner = planner;
  }

  #lost(host: string): void {
    const { clock, events } = this.#context;
    const wasReady = this.#links.get(host)?.ready ?? false;
    this.#links.delete(host);
    this.#suspects.set(host, clock.now() + SUSPECT_MS);
    if (wasReady) events.note("plannerLost", { planner: host });
    for (const service of this.#planners.keys()) this.plannerOf(service);
    for (const asked of this.#pending.values()) {
      if (asked.planner !== host) continue;
      asked.planner = this.plannerOf(asked.request.service);
      this.#ask(asked.planner, asked.request);
    }
  }

  #cancel(id: string): void {
    const asked = this.#pending.get(id);
    if (!asked) return;
    this.#pending.delete(id);
    const stage = PlaceStage.ended;
    this.#send(asked.planner, { type: "progress", id, stage });
    asked.resolve({ reason: "cancelled" });
  }

  #giveBack(id: string, stage: PlaceStage, more: ReportFields = {}): void {
    this.#report(id, stage, more);
    this.#held.delete(id);
  }

  /** Tells the planner of a place how far its request is. */
  #report(id: string, stage: PlaceStage, more: ReportFields = {}): void {
    const held = this.#held.get(id);
    if (!held) return;
    this.#send(held.planner, { type: "progress", id, stage, ...more });
  }

  #ask(planner: string, request: PlacementRequest): void {
    const { clock, self } = this.#context;
    const now = clock.now();
    this.#send(planner, {
      type: "ask",
      id: request.id,
      service: request.service,
      tokens: request.tokens,
      promptTokens: request.promptTokens,
      hall: self.hall,
      priority: request.priority,
      slackMs: request.dueAt - now,
      patienceMs: request.giveUpAt - now,
      key: request.key,
      longestRetryMs: request.longestRetryMs,
      begun: request.begun,
      whole: request.whole,
      excluded: [...request.excluded],
    });
  }

  #send(planner: string, message: HostMessage): void {
    const { self } = this.#context;
    if (planner === self.id) return this.#own.take(self.id, message);
    this.#links.get(planner)?.link.send(message);
  }

  #takeLine(from: string, text: string): void {
    const message = readJson(PlannerMessageSchema, text);
    if (message) this.#take(from, message);
  }

  #take(from: string, message: PlannerMessage): void {
    if (message.type === "ping") return;
    const { id } = message;
    const asked = this.#pending.get(id);
    if (!asked || asked.planner !== from) return;
    this.#pending.delete(id);
    if (message.type === "refusal") {
      return asked.resolve(noPlace(from, message));
    }
    const { decode, prefill } = message;
    const { service, tokens } = asked.request;
    const held = { service, decode, tokens, planner: from };
    this.#held.set(id, held);
    this.#rehomeOne(id, held, this.plannerOf(service));
    asked.resolve(prefill === undefined ? { decode } : { decode, prefill });
  }
}

function noPlace(planner: string, refusal: PlanRefusal): NoPlace {
  const { reason, retryAfterMs, basis } = refusal;
  const comeBack = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { reason, planner, basis, ...comeBack };
}
