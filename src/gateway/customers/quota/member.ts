/**
 * Takes the quotas of this host's requests from their owners. The owner of a
 * shard is the first host in the shard's rendezvous order that answers.
 */
import type { HostId, Milliseconds } from "../../../core/ids.ts";
import { readJson } from "../../../util/read_json.ts";
import type { GatewayContext } from "../../context.ts";
import { HostOrders } from "../../peers/host_order.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../../peers/link.ts";
import type { HostEntry } from "../../port.ts";
import type { Taken } from "./bucket.ts";
import type { QuotaTake } from "./ledger.ts";
import {
  type MemberMessage,
  type OwnerMessage,
  OwnerMessageSchema,
} from "./messages.ts";
import type { QuotaOwner } from "./owner.ts";
import { orderKeyOf, SHARD_COUNT, shardOf } from "./shards.ts";

/**
 * An owner that does not answer for so long is left for the next one: some ten
 * times the way there and back, and longer than a host is without processor
 * when its share of a tenth of a second is used up.
 */
const ANSWER_MS = 250;
/** An owner that was left is not tried again for this time, in milliseconds. */
const SUSPECT_MS = 3000;
/** A request that two owners did not answer is refused. */
const MOST_OWNERS = 2;

/** Units are had after a wait, refused, or nobody could tell. */
export type QuotaOutcome = Taken | { readonly type: "unknown" };

/** What a member is made from. */
export type QuotaMemberSource = {
  readonly context: Pick<GatewayContext, "self" | "clock" | "events">;
  readonly own: QuotaOwner;
  /** The other hosts; the same array while none changes. */
  readonly hosts: () => readonly HostEntry[];
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
  /** The other side has answered. */
  ready: boolean;
  /** Shards last told to it, by their numbers. */
  told: string;
};

/** This host's side of the quotas. */
export class QuotaMember {
  readonly #source: QuotaMemberSource;
  readonly #orders: HostOrders;
  readonly #asked = new Map<string, Asked>();
  readonly #links = new Map<HostId, OwnerLink>();
  readonly #suspects = new Map<HostId, Milliseconds>();
  readonly #owners = new Map<number, HostId>();
  #toldSelf = "";
  #count = 0;

  constructor(source: QuotaMemberSource) {
    this.#source = source;
    this.#orders = new HostOrders(source.context.self.id);
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

  /** Units that were taken for a request that did not run. */
  giveBack(customer: string, units: number): void {
    const owner = this.#ownerOf(customer);
    this.#send(owner, { type: "give-back", customer, units });
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
    const { context: { self, clock }, hosts: hostsOf } = this.#source;
    const hosts = hostsOf();
    const now = clock.now();
    for (const id of this.#orders.of(orderKeyOf(shard), hosts)) {
      if (id === self.id) return id;
      if (now < (this.#suspects.get(id) ?? 0)) continue;
      const link = this.#links.get(id) ?? this.#open(id, hosts);
      if (!link) continue;
      if (link.ready) return id;
      const before = this.#owners.get(shard);
      const isStanding = before !== undefined && before !== id &&
        (before === self.id || this.#links.get(before)?.ready === true);
      return isStanding ? before : id;
    }
    return self.id;
  }

  #open(id: HostId, hosts: readonly HostEntry[]): OwnerLink | undefined {
    const { context: { clock, self }, openLink } = this.#source;
    const address = hosts.find((one) => one.id === id)?.address;
    if (address === undefined) return undefined;
    const target = { address, path: LinkPath.quota, self: self.id, clock };
    const link = openLink(target, {
      ready: () => this.#stands(id),
      line: (text) => this.#takeLine(id, text),
      closed: () => this.#lost(id, link),
    });
    const opened = { link, ready: false, told: "" };
    this.#links.set(id, opened);
    return opened;
  }

  #stands(id: HostId): void {
    const known = this.#links.get(id);
    if (!known) return;
    known.ready = true;
    this.refresh();
    for (const [askedId, asked] of this.#asked) {
      if (asked.owner === id) this.#sendTake(askedId, asked);
    }
  }

  #lost(id: HostId, link: Link): void {
    const known = this.#links.get(id);
    if (known?.link !== link) return;
    const { context: { clock, events } } = this.#source;
    this.#links.delete(id);
    this.#suspects.set(id, clock.now() + SUSPECT_MS);
    if (known.ready) events.note("quotaOwnerLost", { owner: id });
    this.refresh();
    for (const [askedId, asked] of this.#asked) {
      if (asked.owner === id) this.#askNext(askedId, asked);
    }
  }

  #askNext(id: string, asked: Asked): void {
    asked.cancelTimer();
    if (asked.owners >= MOST_OWNERS) {
      this.#asked.delete(id);
      return asked.resolve({ type: "unknown" });
    }
    asked.owners += 1;
    asked.owner = this.#ownerOf(asked.take.customer);
    this.#ask(id, asked);
  }

  #ask(id: string, asked: Asked): void {
    const { self, clock } = this.#source.context;
    const { owner } = asked;
    const link = this.#links.get(owner);
    if (owner === self.id || link?.ready) this.#sendTake(id, asked);
    if (owner === self.id) return;
    asked.cancelTimer = clock.after(ANSWER_MS, () => {
      const late = this.#links.get(owner)?.link;
      if (this.#asked.get(id) === asked && late) late.close();
    });
  }

  #sendTake(id: string, { owner, take }: Asked): void {
    this.#send(owner, { type: "take", id, ...take });
  }

  /** Tells each owner the shards that this host takes from it. */
  #tellShards(): void {
    const { self } = this.#source.context;
    const shardsOf = (owner: HostId) =>
      [...this.#owners].filter(([, one]) => one === owner)
        .map(([shard]) => shard);
    const own = shardsOf(self.id);
    if (own.join() !== this.#toldSelf) {
      this.#toldSelf = own.join();
      this.#send(self.id, { type: "member", shards: own });
    }
    for (const [id, known] of this.#links) {
      const shards = shardsOf(id);
      if (!known.ready || known.told === shards.join()) continue;
      known.told = shards.join();
      this.#send(id, { type: "member", shards });
    }
  }

  #send(owner: HostId, message: MemberMessage): void {
    const { self } = this.#source.context;
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
    const { id, ...taken } = message;
    const asked = this.#asked.get(id);
    if (!asked || asked.owner !== from) return;
    this.#asked.delete(id);
    asked.cancelTimer();
    asked.resolve(taken);
  }
}
