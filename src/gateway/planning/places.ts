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
  type PlanRefusal,
  type RefusalBasis,
} from "./messages.ts";
import type { PlanService } from "./plan_service.ts";

/** A host whose link broke is not tried again for this time. */
const SUSPECT_MS = 800;

/** A request that wants a place. */
export type PlaceWish = {
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

type Asked = {
  readonly wish: PlaceWish;
  planner: string;
  resolve(result: Place | NoPlace): void;
};

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

/** This host's asks and places. */
export class Places {
  readonly #context: GatewayContext;
  readonly #own: PlanService;
  readonly #hosts: () => readonly HostEntry[];
  readonly #asked = new Map<string, Asked>();
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
  find(wish: PlaceWish): {
    readonly result: Promise<Place | NoPlace>;
    cancel(): void;
  } {
    const planner = this.plannerOf(wish.service);
    const result = new Promise<Place | NoPlace>((resolve) => {
      this.#asked.set(wish.id, { wish, planner, resolve });
    });
    this.#ask(planner, wish);
    return { result, cancel: () => this.#cancel(wish.id) };
  }

  /** The request's prompt was read at the planned replica in `spentMs`. */
  prefilled(id: string, spentMs: Milliseconds): void {
    const held = this.#held.get(id);
    if (!held) return;
    const stage = PlaceStage.prefilled;
    this.#send(held.planner, { type: "progress", id, stage, spentMs });
  }

  /** The planned replica did not read the prompt. */
  prefillFailed(id: string): void {
    const held = this.#held.get(id);
    if (!held) return;
    const stage = PlaceStage.prefillFailed;
    this.#send(held.planner, { type: "progress", id, stage });
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
    this.#giveBack(id, PlaceStage.refused, retryAfterMs);
  }

  /** The limit of the planned prefill replica has no room before then. */
  prefillLimited(id: string, retryAfterMs: Milliseconds): void {
    const held = this.#held.get(id);
    if (!held) return;
    const stage = PlaceStage.prefillLimited;
    this.#send(held.planner, { type: "progress", id, stage, retryAfterMs });
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
    for (const asked of this.#asked.values()) {
      if (asked.planner !== host) continue;
      asked.planner = this.plannerOf(asked.wish.service);
      this.#ask(asked.planner, asked.wish);
    }
  }

  #cancel(id: string): void {
    const asked = this.#asked.get(id);
    if (!asked) return;
    this.#asked.delete(id);
    const stage = PlaceStage.ended;
    this.#send(asked.planner, { type: "progress", id, stage });
    asked.resolve({ reason: "cancelled" });
  }

  #giveBack(
    id: string,
    stage: PlaceStage,
    retryAfterMs?: Milliseconds,
  ): void {
    const held = this.#held.get(id);
    if (!held) return;
    this.#held.delete(id);
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    this.#send(held.planner, { type: "progress", id, stage, ...retry });
  }

  #ask(planner: string, wish: PlaceWish): void {
    const { clock, self } = this.#context;
    const now = clock.now();
    this.#send(planner, {
      type: "ask",
      id: wish.id,
      service: wish.service,
      tokens: wish.tokens,
      promptTokens: wish.promptTokens,
      hall: self.hall,
      priority: wish.priority,
      slackMs: wish.dueAt - now,
      patienceMs: wish.giveUpAt - now,
      key: wish.key,
      longestRetryMs: wish.longestRetryMs,
      begun: wish.begun,
      whole: wish.whole,
      excluded: [...wish.excluded],
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
    const asked = this.#asked.get(id);
    if (!asked || asked.planner !== from) return;
    this.#asked.delete(id);
    if (message.type === "refusal") {
      return asked.resolve(noPlace(from, message));
    }
    const { decode, prefill } = message;
    const { service, tokens } = asked.wish;
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
