/**
 * Receives the store state from another host, so that one host reads the store
 * for the whole fleet (see reader_choice). Switches to the next reader if the
 * current one does not respond, or if the store responds to this host but not
 * to it.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";
import { capacityWeight, HostOrders } from "../peers/host_order.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../peers/link.ts";
import { RemoteClock } from "../peers/remote_clock.ts";
import type { HostEntry } from "../port.ts";
import { isUpdate, type UpdateExchange } from "./fleet_updates.ts";
import { followRequest, versionAnnouncement } from "./follower_messages.ts";
import { ListingSource } from "./listing_source.ts";
import { chooseReader } from "./reader_choice.ts";
import { ReaderMessageSchema, type StateMessage } from "./state_messages.ts";

/**
 * Interval at which the reader is chosen again, also while its link is open.
 */
const CHECK_INTERVAL_MS = 1000;
/** Interval at which a starting host checks for its first listing. */
const STARTUP_CHECK_INTERVAL_MS = 100;
/** Time within which a new reader must send a fresh report. */
const REPORT_TIMEOUT_MS = 1500;
/** Maximum age of a fresh report; more than the listing interval. */
const MAX_REPORT_AGE_MS = 1000;
/** Time for which a reader that failed is not chosen again. */
const SUSPECT_TTL_MS = 3000;
/**
 * Time for which a host is not chosen after a link to it could not be opened.
 */
const UNREACHABLE_TTL_MS = 1000;

/**
 * Interval at which the offset of the reader's clock is determined; bounds the
 * error at 15 ms for a drift of 500 ppm.
 */
const CLOCK_SYNC_INTERVAL_MS = 30_000;

/**
 * Time for which a starting host waits for its own first listing before it
 * follows a reader. The reader then only sends changes; full listings for many
 * followers at once would saturate its uplink.
 */
const FIRST_LISTING_TIMEOUT_MS = 2000;

/** A report of a reader. */
export type ReaderReport = {
  readonly reader: HostId;
  /** The reader's address. */
  readonly address: string;
  readonly message: StateMessage;
  /**
   * Time by this host's clock at which the store had no newer configuration
   * than the reader; undefined: unknown.
   */
  readonly configAsOf: Milliseconds | undefined;
  /**
   * Time by this host's clock at which the reader's listing was the store's;
   * undefined: unknown.
   */
  readonly listedAsOf: Milliseconds | undefined;
};

/** Options of {@link HallFollower}. */
export type HallFollowerOptions = {
  readonly context: Pick<
    GatewayContext,
    "clock" | "suspensions" | "events" | "replicas" | "routes"
  >;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly updates: UpdateExchange;
  /** Opens a link to a reader. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
  /** The hosts that follow this one. */
  readonly followers: () => readonly HostEntry[];
  /** Applies a report; false: its listing doesn't continue the local one. */
  onReport(report: ReaderReport): boolean;
};

/** A link to a host that may become the reader. */
type CandidateLink = {
  readonly reader: HostId;
  readonly address: string;
  readonly link: Link;
  readonly clock: RemoteClock;
  readonly source: ListingSource;
  readonly openedAt: Milliseconds;
};

/** Chooses a reader, keeps a link to it and receives its reports. */
export class HallFollower {
  readonly #options: HallFollowerOptions;
  readonly #orders: HostOrders;
  readonly #suspects = new Map<HostId, Milliseconds>();
  /** Clocks of the hosts to which links are open. */
  readonly #clocks = new Set<RemoteClock>();
  #reader: HostId;
  #link: Link | undefined;
  /** Replaces `#link` once it has sent a fresh report. */
  #candidate: CandidateLink | undefined;
  #startedAt: Milliseconds | undefined;
  #openedAt: Milliseconds = 0;
  #syncedAt: Milliseconds = 0;

  constructor(options: HallFollowerOptions) {
    this.#options = options;
    this.#orders = new HostOrders(options.self, capacityWeight);
    this.#reader = options.self.id;
  }

  /**
   * The host that this one follows; its own id if it reads the store itself.
   */
  get reader(): HostId {
    return this.#reader;
  }

  /**
   * Whether other hosts are known and would follow this one: it comes first in
   * its hall.
   */
  get isFirstChoice(): boolean {
    const { self, directory } = this.#options;
    const hosts = directory.entries();
    const reader = this.#chooseReader(hosts, () => false);
    return hosts.length > 0 && directory.get(reader)?.hall !== self.hall;
  }

  /** Whether a link to another reader is open that has not reported yet. */
  get isChangingReader(): boolean {
    return this.#candidate !== undefined;
  }

  /** The links to the reader and to the candidate. */
  get links(): Link[] {
    return [this.#link, this.#candidate?.link].filter((link) =>
      link !== undefined
    );
  }

  /**
   * Discards the readers' clock offsets after a suspension, and requests new
   * ones.
   */
  resetClocks(): void {
    const { clock } = this.#options.context;
    for (const remote of this.#clocks) remote.reset();
    this.#syncedAt = -Infinity;
    this.#syncClock(clock.now());
    this.#candidate?.link.send({ type: "sync", sentAt: clock.now() });
  }

  /**
   * Whether this host follows a reader in another hall and relays to its own.
   */
  get isRelay(): boolean {
    const { self, directory } = this.#options;
    if (this.#reader === self.id) return false;
    const reader = directory.get(this.#reader);
    return reader !== undefined && reader.hall !== self.hall;
  }

  /** Announces hosts that have begun to follow this one to the reader. */
  announceJoined(hosts: readonly HostEntry[]): void {
    this.#link?.send({ type: "joined", hosts });
  }

  /** Chooses a reader, now and periodically. */
  start(): void {
    const { clock, replicas } = this.#options.context;
    this.#startedAt ??= clock.now();
    const isListed = replicas.revision >= 0;
    const isWaiting = !isListed &&
      clock.now() - this.#startedAt < FIRST_LISTING_TIMEOUT_MS;
    if (!isWaiting) this.#updateReader();
    clock.after(
      isWaiting ? STARTUP_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS,
      () => this.start(),
    );
  }

  /**
   * Leaves the reader, unless it was chosen less than `REPORT_TIMEOUT_MS` ago.
   */
  leaveIfStale(reason: string): void {
    const openMs = this.#options.context.clock.now() - this.#openedAt;
    if (openMs > REPORT_TIMEOUT_MS) this.#leave(reason);
  }

  #leave(reason: string): void {
    const { self, context } = this.#options;
    if (this.#reader === self.id) return;
    const reader = this.#reader;
    context.events.note("readerLeft", { reader, reason });
    this.#suspects.set(reader, context.clock.now() + SUSPECT_TTL_MS);
    this.#close();
    this.#updateReader();
  }

  #updateReader(): void {
    const { directory, context } = this.#options;
    const now = context.clock.now();
    this.#syncClock(now);
    this.#dropStaleCandidate(now);
    const hosts = directory.entries();
    const reader = this.#chooseReader(
      hosts,
      (id) => now < (this.#suspects.get(id) ?? 0),
    );
    if (reader === (this.#candidate?.reader ?? this.#reader)) return;
    this.#dropCandidate();
    if (reader === this.#reader) return;
    const host = directory.get(reader);
    if (!host) return this.#close();
    this.#candidate = { ...this.#open(host), openedAt: now };
  }

  #chooseReader(
    hosts: readonly HostEntry[],
    isSuspect: (host: HostId) => boolean,
  ): HostId {
    const { self } = this.#options;
    return chooseReader({ self, hosts, orders: this.#orders, isSuspect });
  }

  #syncClock(now: Milliseconds): void {
    if (!this.#link || now - this.#syncedAt < CLOCK_SYNC_INTERVAL_MS) return;
    this.#syncedAt = now;
    this.#link.send({ type: "sync", sentAt: now });
  }

  #open(host: HostEntry): Omit<CandidateLink, "openedAt"> {
    const { self, context, openLink } = this.#options;
    const target = {
      address: host.address,
      path: LinkPath.state,
      self: self.id,
      clock: context.clock,
    };
    const clock = new RemoteClock();
    this.#clocks.add(clock);
    const source = new ListingSource();
    const sender = { reader: host.id, address: host.address, clock, source };
    const link: Link = openLink(target, {
      ready: () => {
        const revision = context.replicas.deltaBase;
        const request = { host: self, revision, isCompared: true };
        link.send(followRequest(context, request));
        this.#options.updates.sendAll(link);
        const followers = this.#options.followers();
        if (followers.length > 0) {
          link.send({ type: "joined", hosts: followers });
        }
      },
      line: (text) => this.#receive(text, { link, ...sender }),
      closed: () => {
        this.#clocks.delete(clock);
        this.#handleLinkEnd(link);
      },
    });
    return { link, ...sender };
  }

  /** Makes the candidate the reader and closes the link to the previous one. */
  #switchTo(candidate: CandidateLink): void {
    const { context } = this.#options;
    const { reader } = candidate;
    this.#candidate = undefined;
    this.#close();
    this.#reader = reader;
    this.#link = candidate.link;
    this.#openedAt = context.clock.now();
    this.#syncedAt = this.#openedAt;
    context.events.note("readerChosen", { reader });
  }

  #handleLinkEnd(link: Link): void {
    if (this.#link === link) return this.#leave("The link ended");
    if (this.#candidate?.link !== link) return;
    const until = this.#options.context.clock.now() + UNREACHABLE_TTL_MS;
    this.#suspects.set(this.#candidate.reader, until);
    this.#candidate = undefined;
    this.#updateReader();
  }

  /** Drops a candidate that has sent no fresh report in time. */
  #dropStaleCandidate(now: Milliseconds): void {
    if (
      !this.#candidate || now - this.#candidate.openedAt < REPORT_TIMEOUT_MS
    ) return;
    this.#suspects.set(this.#candidate.reader, now + SUSPECT_TTL_MS);
    this.#dropCandidate();
  }

  #dropCandidate(): void {
    const candidate = this.#candidate;
    this.#candidate = undefined;
    candidate?.link.close();
  }

  #receive(text: string, sender: Omit<CandidateLink, "openedAt">): void {
    const message = readJson(ReaderMessageSchema, text);
    const { context, self, updates, onReport } = this.#options;
    // Detects a suspension first: the message may have been buffered during it.
    context.suspensions.check();
    const { link, reader, address } = sender;
    if (!message) return;
    if (isUpdate(message)) return updates.receive(link, message);
    if (message.type !== "state") return;
    const now = context.clock.now();
    if (message.echo) sender.clock.note(message.echo, now);
    if (message.isResumed) link.send({ type: "sync", sentAt: now });
    const toLocal = (time: Milliseconds | undefined) =>
      time === undefined ? undefined : sender.clock.toLocal(time, now);
    const isFresh = message.ageMs !== undefined &&
      message.ageMs <= MAX_REPORT_AGE_MS;
    if (this.#candidate?.link === link && isFresh) {
      this.#switchTo(this.#candidate);
    }
    const listing = message.listing && sender.source.mark(message.listing);
    const report = {
      reader,
      address,
      message: { ...message, ...(listing ? { listing } : {}) },
      configAsOf: toLocal(message.configAsOf),
      listedAsOf: toLocal(message.listedAsOf),
    };
    const isContinued = onReport(report);
    const announcement = versionAnnouncement(context, message);
    if (announcement) link.send(announcement);
    if (isContinued) return;
    // The listing doesn't match the table.
    const wasCompared = message.listing?.buckets !== undefined;
    const request = { host: self, revision: -1, isCompared: !wasCompared };
    link.send(followRequest(context, request));
  }

  #close(): void {
    const link = this.#link;
    this.#link = undefined;
    this.#reader = this.#options.self.id;
    link?.close();
  }
}
