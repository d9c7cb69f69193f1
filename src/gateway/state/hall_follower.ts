/**
 * Follows another host's word of the store, so that one host calls the store
 * in place of all (see reader_choice). A reader that falls silent, or that the
 * store does not answer while it answers this host, is left for the next.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";
import { HostOrders } from "../peers/host_order.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../peers/link.ts";
import { RemoteClock } from "../peers/remote_clock.ts";
import type { HostEntry } from "../port.ts";
import { isNews, type News } from "./fleet_news.ts";
import { chooseReader } from "./reader_choice.ts";
import { ReaderMessageSchema, type StateMessage } from "./state_messages.ts";

/** How often the reader is chosen anew; it is also when its link ends. */
const LOOK_MS = 1000;
/** A starting host looks this often whether it has its first listing. */
const FIRST_LOOK_MS = 100;
/** A reader is given so long to tell something fresh. */
const STALE_MS = 1500;
/** A word of the store up to this age is fresh: a listing each 700 ms. */
const FRESH_MS = 1000;
/** A reader that was of no use is not chosen for this time. */
const SUSPECT_MS = 3000;
/** A host to which no link came about is tried again after this time. */
const UNREACHED_MS = 1000;

/**
 * The reader's clock is read anew this often: with a drift of 500 ppm its
 * moments are then known to within 15 ms.
 */
const CLOCK_SYNC_MS = 30_000;

/**
 * A starting host lists the replicas itself, so that its reader tells it only
 * what has changed since. A whole listing for each of many followers at once
 * would keep a reader's link busy for seconds. A host that has none by then
 * follows without.
 */
const ALONE_MS = 2000;

/** What a reader has told. */
export type ReaderWord = {
  readonly reader: HostId;
  /** The reader's address. */
  readonly address: string;
  readonly message: StateMessage;
  /** The moment of its word of the configuration, by this host's clock. */
  readonly configAsOf: Milliseconds | undefined;
};

/** What a follower is made from. */
export type HallFollowerSource = {
  readonly context: Pick<
    GatewayContext,
    "clock" | "suspensions" | "events" | "replicas" | "routes"
  >;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly news: News;
  /** Opens a link to a reader. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
  /** Takes the reader's report; false: its listing does not follow on ours. */
  onState(word: ReaderWord): boolean;
};

/** A link to a host that may become the reader. */
type NextLink = {
  readonly reader: HostId;
  readonly address: string;
  readonly link: Link;
  readonly clock: RemoteClock;
  readonly openedAt: Milliseconds;
};

/** The link to the host that this one follows. */
export class HallFollower {
  readonly #source: HallFollowerSource;
  readonly #orders: HostOrders;
  readonly #suspects = new Map<HostId, Milliseconds>();
  /** Of the hosts to which links stand. */
  readonly #clocks = new Set<RemoteClock>();
  #reader: HostId;
  #link: Link | undefined;
  /** Takes the other's place once it has told a fresh word of the store. */
  #next: NextLink | undefined;
  #startedAt: Milliseconds | undefined;
  #openedAt: Milliseconds = 0;
  #syncedAt: Milliseconds = 0;

  constructor(source: HallFollowerSource) {
    this.#source = source;
    this.#orders = new HostOrders(source.self.id);
    this.#reader = source.self.id;
  }

  /** The host that reads for this one; this one itself, or another. */
  get reader(): HostId {
    return this.#reader;
  }

  /** The links to the host that this one follows, and to the next one. */
  get links(): Link[] {
    return [this.#link, this.#next?.link].filter((one) => one !== undefined);
  }

  /** This host's clock stood still: its readers' clocks are read anew. */
  forgetClocks(): void {
    const { clock } = this.#source.context;
    for (const one of this.#clocks) one.forget();
    this.#syncedAt = -Infinity;
    this.#syncClock(clock.now());
    this.#next?.link.send({ type: "sync", sentAt: clock.now() });
  }

  /** Whether this host relays between the reader of the fleet and its hall. */
  get isRelay(): boolean {
    const { self, directory } = this.#source;
    if (this.#reader === self.id) return false;
    const reader = directory.get(this.#reader);
    return reader !== undefined && reader.hall !== self.hall;
  }

  /** Chooses a reader again and again. */
  start(): void {
    const { clock, replicas } = this.#source.context;
    this.#startedAt ??= clock.now();
    const isListed = replicas.revision >= 0;
    const isAlone = !isListed && clock.now() - this.#startedAt < ALONE_MS;
    if (!isAlone) this.#look();
    clock.after(isAlone ? FIRST_LOOK_MS : LOOK_MS, () => this.start());
  }

  /** The reader has nothing fresh to tell: the next one is followed. */
  leaveIfStale(reason: string): void {
    const openMs = this.#source.context.clock.now() - this.#openedAt;
    if (openMs > STALE_MS) this.#leave(reason);
  }

  #leave(reason: string): void {
    const { self, context } = this.#source;
    if (this.#reader === self.id) return;
    const reader = this.#reader;
    context.events.note("readerLeft", { reader, reason });
    this.#suspects.set(reader, context.clock.now() + SUSPECT_MS);
    this.#close();
    this.#look();
  }

  #look(): void {
    const { self, directory, context } = this.#source;
    const now = context.clock.now();
    this.#syncClock(now);
    this.#dropStaleNext(now);
    const hosts = directory.entries();
    const isSuspect = (id: HostId) => now < (this.#suspects.get(id) ?? 0);
    const orders = this.#orders;
    const reader = chooseReader({ self, hosts, orders, isSuspect });
    if (reader === (this.#next?.reader ?? this.#reader)) return;
    this.#dropNext();
    if (reader === this.#reader) return;
    const host = directory.get(reader);
    if (!host) return this.#close();
    this.#next = { ...this.#open(host), openedAt: now };
  }

  #syncClock(now: Milliseconds): void {
    if (!this.#link || now - this.#syncedAt < CLOCK_SYNC_MS) return;
    this.#syncedAt = now;
    this.#link.send({ type: "sync", sentAt: now });
  }

  #open(host: HostEntry): Omit<NextLink, "openedAt"> {
    const { self, context, openLink } = this.#source;
    const target = {
      address: host.address,
      path: LinkPath.state,
      self: self.id,
      clock: context.clock,
    };
    const clock = new RemoteClock();
    this.#clocks.add(clock);
    const named = { reader: host.id, address: host.address };
    const link: Link = openLink(target, {
      ready: () => {
        this.#follow(link, context.replicas.base);
        this.#source.news.greet(link);
      },
      line: (text) => this.#take(text, { link, clock, ...named }),
      closed: () => {
        this.#clocks.delete(clock);
        this.#ended(link);
      },
    });
    return { link, clock, ...named };
  }

  /** The new link tells a fresh word: the old one is left. */
  #change(next: NextLink): void {
    const { context } = this.#source;
    const { reader } = next;
    this.#next = undefined;
    this.#close();
    this.#reader = reader;
    this.#link = next.link;
    this.#openedAt = context.clock.now();
    this.#syncedAt = this.#openedAt;
    context.events.note("readerChosen", { reader });
  }

  #follow(link: Link, revision: number): void {
    const { context: { clock, routes }, self } = this.#source;
    link.send({
      type: "follow",
      revision,
      version: routes.version,
      sentAt: clock.now(),
      host: self,
    });
  }

  #ended(link: Link): void {
    if (this.#link === link) return this.#leave("The link ended");
    if (this.#next?.link !== link) return;
    const until = this.#source.context.clock.now() + UNREACHED_MS;
    this.#suspects.set(this.#next.reader, until);
    this.#next = undefined;
    this.#look();
  }

  /** A host that has nothing fresh to tell is passed over for a while. */
  #dropStaleNext(now: Milliseconds): void {
    if (!this.#next || now - this.#next.openedAt < STALE_MS) return;
    this.#suspects.set(this.#next.reader, now + SUSPECT_MS);
    this.#dropNext();
  }

  #dropNext(): void {
    const next = this.#next;
    this.#next = undefined;
    next?.link.close();
  }

  #take(text: string, from: Omit<NextLink, "openedAt">): void {
    const message = readJson(ReaderMessageSchema, text);
    // What lay in a buffer while this host slept was told before its end.
    this.#source.context.suspensions.check();
    const { link, reader, address } = from;
    if (!message) return;
    if (isNews(message)) return this.#source.news.take(link, message);
    if (message.type !== "state") return;
    const now = this.#source.context.clock.now();
    if (message.echo) from.clock.note(message.echo, now);
    const configAsOf = message.configAsOf === undefined
      ? undefined
      : from.clock.toLocal(message.configAsOf, now);
    const isFresh = message.ageMs !== undefined && message.ageMs <= FRESH_MS;
    if (this.#next?.link === link && isFresh) this.#change(this.#next);
    const word = { reader, address, message, configAsOf };
    if (!this.#source.onState(word)) this.#follow(link, -1);
  }

  #close(): void {
    const link = this.#link;
    this.#link = undefined;
    this.#reader = this.#source.self.id;
    link?.close();
  }
}
