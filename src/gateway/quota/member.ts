/**
 * Takes what this host's requests use of an account that all hosts share, a
 * customer's quota or a replica's limit, from its owner. The owner of a shard is
 * the first host in the shard's rendezvous order that answers.
 */
import type { HallId, HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import { HostOrders } from "../peers/host_order.ts";
import type { Link, LinkEvents, LinkPath, LinkTarget } from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import type { QuotaTake, Taken } from "./ledger.ts";
import {
  type MemberMessage,
  type OwnerMessage,
  OwnerMessageSchema,
} from "./messages.ts";
import type { QuotaOwner } from "./owner.ts";
import { orderKeyOf, SHARD_COUNT, shardOf } from "./shards.ts";
import { Suspects } from "./suspects.ts";
import { type Use, Uses } from "./uses.ts";

/**
 * An owner that does not answer for so long is left for the next one: some ten
 * times the way there and back, and longer than a host is without processor
 * when its share of a tenth of a second is used up.
 */
const ANSWER_MS = 250;
/** What has come while this host stood still is read within this time. */
const READ_MS = 20;
/** A request that three owners did not answer is refused. */
const MOST_OWNERS = 3;

/** Makes a host tell its shards again: no list of them reads so. */
const UNTOLD = "-";
/** Units are had after a wait, refused, or nobody could tell. */
export type QuotaOutcome =
  | Extract<Taken, { type: "refused" }>
  | { readonly type: "unknown" }
  | {
    readonly type: "granted";
    /** The request goes on after this time. */
    readonly afterMs: Milliseconds;
    /** The units were not used. */
    giveBack(): void;
  };

/** What a member is made from. */
export type QuotaMemberSource = {
  readonly self: { readonly id: HostId; readonly hall: HallId };
  readonly clock: Clock;
  readonly own: QuotaOwner;
  /** The other hosts; the same array while none changes. */
  readonly hosts: () => readonly HostEntry[];
  /** What was taken longer ago is not told to a new owner. */
  readonly memoryMs: () => Milliseconds;
  /** The owners' links. */
  readonly path: LinkPath;
  /** An owner is out of reach. */
  readonly noteLost: (owner: HostId) => void;
  /** Opens a link to an owner. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
};

type Asked = {
  readonly take: QuotaTake;
  owner: HostId;
  owners: number;
  cancelTimer: () => void;
  resolve(outcome: QuotaOutcome): void;
};

type OwnerLink = {
  readonly link: Link;
  /** The run of the owner; absent until it has answered. */
  run: string | undefined;
  /** Shards last told to it, by their numbers. */
  told: string;
};

/** This host's side of the quotas. */
export class QuotaMember {
  readonly #source: QuotaMemberSource;
  readonly #orders: HostOrders;
  readonly #asked = new Map<string, Asked>();
  readonly #links = new Map<HostId, OwnerLink>();
  readonly #suspects: Suspects;
  readonly #owners = new Map<number, HostId>();
  readonly #startedAt: Milliseconds;
  readonly #uses = new Uses();
  #toldSelf = "";
  #count = 0;

  constructor(source: QuotaMemberSource) {
    this.#source = source;
    this.#orders = new HostOrders(source.self.id);
    this.#suspects = new Suspects(source.self.hall);
    this.#startedAt = source.clock.now();
  }

  /** Chooses the owners anew: hosts come, go, and are trusted again. */
  refresh(): void {
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      this.#owners.set(shard, this.#bestOwner(shard));
    }
    this.#tellShards();
  }

  /** Takes units for a request. */
  take(take: QuotaTake): Promise<QuotaOutcome> {
    this.#count += 1;
    const id = String(this.#count);
    return new Promise((resolve) => {
      const owner = this.#ownerOf(take.customer);
      const cancelTimer = () => undefined;
      const asked = { take, owner, owners: 1, cancelTimer, resolve };
      this.#asked.set(id, asked);
      this.#ask(id, asked);
    });
  }

  /** Units were taken at these times before there was an owner to ask. */
  noteTaken(take: QuotaTake, times: readonly Milliseconds[]): void {
    if (times.length === 0) return;
    this.#uses.addUnknown(take, times);
    this.#toldSelf = UNTOLD;
    for (const known of this.#links.values()) known.told = UNTOLD;
    this.#tellShards();
  }

  /** Nobody is asked for a while: the links to owners are closed. */
  idle(): void {
    this.#owners.clear();
    this.#toldSelf = UNTOLD;
    for (const [id, { link }] of this.#links) {
      this.#links.delete(id);
      link.close();
    }
    for (const [id, asked] of this.#asked) this.#giveUp(id, asked);
  }

  #ownerOf(customer: string): HostId {
    const shard = shardOf(customer);
    const owner = this.#bestOwner(shard);
    if (owner !== this.#owners.get(shard)) {
      this.#owners.set(shard, owner);
      this.#tellShards();
    }
    return owner;
  }

  /**
   * The first host of the order that isn't suspect. While a link to it is
   * being made, the owner so far stays; without one, requests wait for the link
   * rather than go to a host that nobody else asks.
   */
  #bestOwner(shard: number): HostId {
    const { self, clock, hosts: hostsOf } = this.#source;
    const hosts = hostsOf();
    const cutHalls = this.#suspects.cutHalls(clock.now());
    for (const id of this.#orders.of(orderKeyOf(shard), hosts)) {
      if (id === self.id) return id;
      if (this.#suspects.has(id)) continue;
      const host = hosts.find((one) => one.id === id);
      if (!host || cutHalls.has(host.hall)) continue;
      const link = this.#links.get(id) ?? this.#open(host);
      if (link.run !== undefined) return id;
      const before = this.#owners.get(shard);
      const isStanding = before !== undefined && before !== id &&
        (before === self.id || this.#links.get(before)?.run !== undefined);
      return isStanding ? before : id;
    }
    return self.id;
  }

  #open({ id, address, hall }: HostEntry): OwnerLink {
    const { clock, self, openLink, path } = this.#source;
    const target = {
      address,
      path,
      self: self.id,
      clock,
      isWatchful: true,
    };
    const link = openLink(target, {
      line: (text) => this.#takeLine(id, text),
      closed: () => this.#lost({ id, hall }, link),
    });
    const opened = { link, run: undefined, told: "" };
    this.#links.set(id, opened);
    return opened;
  }

  #stands(id: HostId, run: string): void {
    const known = this.#links.get(id);
    if (!known) return;
    known.run = run;
    this.refresh();
    for (const [askedId, asked] of this.#asked) {
      if (asked.owner === id) this.#sendTake(askedId, asked);
    }
  }

  #lost({ id, hall }: Pick<HostEntry, "id" | "hall">, link: Link): void {
    const known = this.#links.get(id);
    if (known?.link !== link) return;
    const { clock, noteLost } = this.#source;
    this.#links.delete(id);
    this.#suspects.add(id, hall, clock.now());
    if (known.run !== undefined) noteLost(id);
    this.refresh();
    for (const [askedId, asked] of this.#asked) {
      if (asked.owner === id) this.#askNext(askedId, asked);
    }
  }

  #askNext(id: string, asked: Asked): void {
    asked.cancelTimer();
    if (asked.owners >= MOST_OWNERS) return this.#giveUp(id, asked);
    asked.owners += 1;
    asked.owner = this.#ownerOf(asked.take.customer);
    this.#ask(id, asked);
  }

  #giveUp(id: string, asked: Asked): void {
    this.#asked.delete(id);
    asked.cancelTimer();
    asked.resolve({ type: "unknown" });
  }

  #ask(id: string, asked: Asked): void {
    const { self, clock } = this.#source;
    const { owner } = asked;
    const link = this.#links.get(owner);
    if (owner === self.id || link?.run !== undefined) {
      this.#sendTake(id, asked);
    }
    if (owner === self.id) return;
    const close = () => {
      const late = this.#links.get(owner)?.link;
      if (this.#asked.get(id) === asked && late) late.close();
    };
    // If this host itself stood still, the answer may be there, unread.
    asked.cancelTimer = clock.after(ANSWER_MS, () => {
      asked.cancelTimer = clock.after(READ_MS, close);
    });
  }

  #sendTake(id: string, { owner, take }: Asked): void {
    this.#send(owner, { type: "take", id, ...take });
  }

  /** Tells each owner the shards that this host takes from it. */
  #tellShards(): void {
    const { self } = this.#source;
    const shardsOf = (owner: HostId) =>
      [...this.#owners].filter(([, one]) => one === owner)
        .map(([shard]) => shard);
    const own = shardsOf(self.id);
    if (own.join() !== this.#toldSelf) {
      this.#toldSelf = own.join();
      this.#send(self.id, this.#membership(own, this.#source.own.run));
    }
    for (const [id, known] of this.#links) {
      const shards = shardsOf(id);
      if (known.run === undefined || known.told === shards.join()) continue;
      known.told = shards.join();
      this.#send(id, this.#membership(shards, known.run));
    }
  }

  /** Names the owner of these shards, and tells it what others gave of them. */
  #membership(shards: readonly number[], run: string): MemberMessage {
    const { clock, memoryMs } = this.#source;
    const now = clock.now();
    const oldest = now - memoryMs();
    const usage = this.#uses.newsFor({ run, shards }, { oldest, now });
    const upMs: Milliseconds = now - this.#startedAt;
    return { type: "member", shards, upMs, usage };
  }

  #send(owner: HostId, message: MemberMessage): void {
    const { self } = this.#source;
    if (owner !== self.id) return this.#links.get(owner)?.link.send(message);
    const answer = this.#source.own.take(self.id, message);
    if (answer) this.#take(self.id, answer);
  }

  #takeLine(from: HostId, text: string): void {
    const message = readJson(OwnerMessageSchema, text);
    if (message) this.#take(from, message);
  }

  #take(from: HostId, message: OwnerMessage): void {
    if (message.type === "ping") return;
    if (message.type === "hello") return this.#stands(from, message.run);
    const { id } = message;
    const asked = this.#asked.get(id);
    if (!asked || asked.owner !== from) return;
    this.#asked.delete(id);
    asked.cancelTimer();
    if (message.type === "refused") return asked.resolve(message);
    const { afterMs } = message;
    const use = this.#noteUse(asked.take, from, afterMs);
    const giveBack = () => this.#giveBack(use);
    asked.resolve({ type: "granted", afterMs, giveBack });
  }

  #noteUse(take: QuotaTake, owner: HostId, afterMs: Milliseconds): Use {
    const { clock, self, own, memoryMs } = this.#source;
    const run = owner === self.id ? own.run : this.#links.get(owner)?.run;
    const now = clock.now();
    const use = { take, at: now + afterMs, knownTo: new Set([run ?? ""]) };
    this.#uses.add(use, now - memoryMs());
    return use;
  }

  #giveBack(use: Use): void {
    const { customer, units } = use.take;
    this.#uses.remove(use);
    const agoMs: Milliseconds = this.#source.clock.now() - use.at;
    const owner = this.#ownerOf(customer);
    this.#send(owner, { type: "give-back", customer, units, agoMs });
  }
}
