/**
 * Acquires units for this host's requests from accounts that all hosts share: a
 * customer's quota or a replica's limit. The owner of a shard is the first
 * reachable host in the shard's rendezvous order.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { Link } from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import type { QuotaRequest } from "./ledger.ts";
import {
  type MemberMessage,
  type OwnerMessage,
  OwnerMessageSchema,
  type QuotaBackup,
} from "./messages.ts";
import type { QuotaMemberOptions, QuotaOutcome } from "./member_options.ts";
import { Backups, type Standby } from "./backups.ts";
import { PauseGuard } from "./pause_guard.ts";
import { ShardOrder } from "./shard_order.ts";
import { SHARD_COUNT, shardOf } from "./shards.ts";
import { type Acquisition, AcquisitionLog } from "./acquisition_log.ts";

/**
 * Time after which an owner that does not respond is replaced by the next one:
 * about ten round trips, and longer than CPU throttling stalls a host (up to
 * 100 ms).
 */
const RESPONSE_TIMEOUT_MS = 250;
/** Time to read responses that arrived while this host was stalled. */
const READ_GRACE_MS = 20;
/** Owners to try before the outcome of a request is unknown. */
const MAX_OWNERS = 3;

/** Differs from every list of shards, so that the shards are reported again. */
const NOT_REPORTED = "-";

type PendingRequest = {
  readonly request: QuotaRequest;
  owner: HostId;
  ownersTried: number;
  cancelTimer: () => void;
  resolve(outcome: QuotaOutcome): void;
};

type OwnerLink = {
  readonly link: Link;
  /** The run of the owner's process; absent until its hello has arrived. */
  run: string | undefined;
  /** Numbers of the shards last reported to the owner. */
  reported: string;
};

/** Requests units from owners, and chooses the owner of each shard. */
export class QuotaMember {
  readonly #options: QuotaMemberOptions;
  readonly #order: ShardOrder;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #links = new Map<HostId, OwnerLink>();
  readonly #ownersByShard = new Map<number, HostId>();
  readonly #startedAt: Milliseconds;
  readonly #acquisitions = new AcquisitionLog();
  readonly #backups: Backups;
  readonly #pauses: PauseGuard;
  /** Numbers of the shards last reported to the owner in this process. */
  #reportedToSelf = "";
  #requestCount = 0;

  constructor(options: QuotaMemberOptions) {
    this.#options = options;
    this.#order = new ShardOrder(options);
    this.#startedAt = options.clock.now();
    this.#pauses = new PauseGuard(options.clock);
    const acquisitions = this.#acquisitions;
    const standbyOf = (shard: number) => this.#standbyOf(shard);
    this.#backups = new Backups({ ...options, acquisitions, standbyOf });
  }

  /**
   * Chooses the owner of each shard again. Call periodically: hosts join and
   * leave the fleet, and suspects expire.
   */
  refresh(): void {
    this.#pauses.noteRunning();
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      this.#ownersByShard.set(shard, this.#chooseOwner(shard));
    }
    this.#reportShards();
    this.#backups.sendAll(this.#shardsOf(this.#options.self.id));
  }

  /** Keeps a copy of what another owner's host acquired. */
  keepBackup({ run, usage }: QuotaBackup): void {
    const { clock, localOwner } = this.#options;
    const runs = [run, localOwner.run];
    this.#acquisitions.addBackup(usage, { runs, now: clock.now() });
  }

  /** Acquires units for a request. */
  acquire(request: QuotaRequest): Promise<QuotaOutcome> {
    this.#requestCount += 1;
    const id = String(this.#requestCount);
    return new Promise((resolve) => {
      const owner = this.#ownerOf(request.customer);
      const cancelTimer = () => undefined;
      const pending = { request, owner, ownersTried: 1, cancelTimer, resolve };
      this.#pending.set(id, pending);
      this.#request(id, pending);
    });
  }

  /** Records units that were used at these times without an owner's grant. */
  noteAcquired(request: QuotaRequest, times: readonly Milliseconds[]): void {
    if (times.length === 0) return;
    this.#acquisitions.addUnreported(request, times);
    this.#reportedToSelf = NOT_REPORTED;
    for (const link of this.#links.values()) link.reported = NOT_REPORTED;
    this.#reportShards();
  }

  /** Closes the links to owners until the next request or refresh. */
  closeLinks(): void {
    this.#ownersByShard.clear();
    this.#reportedToSelf = NOT_REPORTED;
    for (const [id, { link }] of this.#links) {
      this.#links.delete(id);
      link.close();
    }
    for (const [id, pending] of this.#pending) this.#abandon(id, pending);
  }

  #ownerOf(customer: string): HostId {
    const shard = shardOf(customer);
    const owner = this.#chooseOwner(shard);
    if (owner !== this.#ownersByShard.get(shard)) {
      this.#ownersByShard.set(shard, owner);
      this.#reportShards();
    }
    return owner;
  }

  /**
   * The first host of the order that isn't suspect. While the link to it is
   * being opened, the previous owner remains. Without a previous owner,
   * requests wait for the link rather than go to a host that no other host has
   * chosen.
   */
  #chooseOwner(shard: number): HostId {
    const { self } = this.#options;
    const id = this.#order.first(shard);
    if (id === self.id) return id;
    const link = this.#linkTo(id);
    if (!link || link.run !== undefined) return id;
    const previous = this.#ownersByShard.get(shard);
    const isConnected = previous !== undefined && previous !== id &&
      (previous === self.id || this.#links.get(previous)?.run !== undefined);
    return isConnected ? previous : id;
  }

  /** The host that would own a shard of this host next. */
  #standbyOf(shard: number): Standby | undefined {
    const id = this.#order.firstOther(shard);
    const opened = id === undefined ? undefined : this.#linkTo(id);
    if (!opened) return undefined;
    const { run, link } = opened;
    return { run, send: (message) => link.send(message) };
  }

  /** The link to a host, opened if there is none. */
  #linkTo(id: HostId): OwnerLink | undefined {
    const host = this.#options.hosts().find((entry) => entry.id === id);
    return this.#links.get(id) ?? (host && this.#open(host));
  }

  #open({ id, address, hall }: HostEntry): OwnerLink {
    const { clock, self, openLink, path } = this.#options;
    const identity = { self: self.id, clock, isCloselyMonitored: true };
    const link = openLink({ address, path, ...identity }, {
      line: (text) => this.#receiveLine(id, text),
      closed: () => this.#noteDisconnected({ id, hall }, link),
    });
    const opened = { link, run: undefined, reported: "" };
    this.#links.set(id, opened);
    return opened;
  }

  #noteConnected(id: HostId, run: string): void {
    const connected = this.#links.get(id);
    if (!connected) return;
    connected.run = run;
    this.refresh();
    for (const [requestId, pending] of this.#pending) {
      if (pending.owner === id) this.#sendRequest(requestId, pending);
    }
  }

  #noteDisconnected(
    { id, hall }: Pick<HostEntry, "id" | "hall">,
    link: Link,
  ): void {
    const closed = this.#links.get(id);
    if (closed?.link !== link) return;
    this.#links.delete(id);
    this.#order.suspect({ id, hall });
    if (closed.run !== undefined) this.#options.noteLost(id);
    this.refresh();
    for (const [requestId, pending] of this.#pending) {
      if (pending.owner === id) this.#tryNextOwner(requestId, pending);
    }
  }

  #tryNextOwner(id: string, pending: PendingRequest): void {
    pending.cancelTimer();
    if (pending.ownersTried >= MAX_OWNERS) return this.#abandon(id, pending);
    pending.ownersTried += 1;
    pending.owner = this.#ownerOf(pending.request.customer);
    this.#request(id, pending);
  }

  #abandon(id: string, pending: PendingRequest): void {
    this.#pending.delete(id);
    pending.cancelTimer();
    pending.resolve({ type: "unknown" });
  }

  #request(id: string, pending: PendingRequest): void {
    const { self, clock } = this.#options;
    const { owner } = pending;
    const link = this.#links.get(owner);
    const send = () => this.#sendRequest(id, pending);
    if (owner === self.id) {
      pending.cancelTimer = this.#pauses.run(send);
      return;
    }
    if (link?.run !== undefined) send();
    const close = () => {
      const late = this.#links.get(owner)?.link;
      if (this.#pending.get(id) === pending && late) late.close();
    };
    // If this host was stalled, the response may have arrived, but unread.
    pending.cancelTimer = clock.after(RESPONSE_TIMEOUT_MS, () => {
      pending.cancelTimer = clock.after(READ_GRACE_MS, close);
    });
  }

  #sendRequest(id: string, { owner, request }: PendingRequest): void {
    this.#send(owner, { type: "take", id, ...request });
  }

  /** The shards for which this host has chosen an owner. */
  #shardsOf(owner: HostId): number[] {
    return [...this.#ownersByShard].filter(([, id]) => id === owner)
      .map(([shard]) => shard);
  }

  /** Sends each owner the shards for which this host requests units from it. */
  #reportShards(): void {
    const { self } = this.#options;
    const local = this.#shardsOf(self.id);
    if (local.join() !== this.#reportedToSelf) {
      this.#reportedToSelf = local.join();
      const { run } = this.#options.localOwner;
      this.#send(self.id, this.#membership(local, run));
    }
    for (const [id, link] of this.#links) {
      const shards = this.#shardsOf(id);
      if (link.run === undefined || link.reported === shards.join()) continue;
      link.reported = shards.join();
      this.#send(id, this.#membership(shards, link.run));
    }
  }

  /** The report of these shards, with what other owners granted from them. */
  #membership(shards: readonly number[], run: string): MemberMessage {
    const now = this.#options.clock.now();
    const oldest = now - this.#options.retentionMs();
    const usage = this.#acquisitions.reportTo({ run, shards }, { oldest, now });
    const upMs: Milliseconds = now - this.#startedAt;
    return { type: "member", shards, upMs, usage };
  }

  #send(owner: HostId, message: MemberMessage): void {
    const { self } = this.#options;
    if (owner !== self.id) return this.#links.get(owner)?.link.send(message);
    const reply = this.#options.localOwner.handle(self.id, message);
    if (reply) this.#receive(self.id, reply);
  }

  #receiveLine(from: HostId, text: string): void {
    const message = readJson(OwnerMessageSchema, text);
    if (message) this.#receive(from, message);
  }

  #receive(from: HostId, message: OwnerMessage): void {
    if (message.type === "ping") return;
    if (message.type === "hello") return this.#noteConnected(from, message.run);
    const { id } = message;
    const pending = this.#pending.get(id);
    if (!pending || pending.owner !== from) return;
    this.#pending.delete(id);
    pending.cancelTimer();
    if (message.type === "refused") return pending.resolve(message);
    const { afterMs, isProvisional = false } = message;
    const acquired = this.#noteAcquisition(from, {
      request: pending.request,
      at: this.#options.clock.now() + afterMs,
      ...(isProvisional ? { isProvisional } : {}),
    });
    const releaseUnits = () => this.#release(acquired);
    pending.resolve({ type: "granted", afterMs, release: releaseUnits });
  }

  #noteAcquisition(
    from: HostId,
    acquired: Omit<Acquisition, "knownTo">,
  ): Acquisition {
    const { clock, self, localOwner, retentionMs } = this.#options;
    const run = from === self.id ? localOwner.run : this.#links.get(from)?.run;
    const entry = { ...acquired, knownTo: new Set([run ?? ""]) };
    this.#acquisitions.add(entry, clock.now() - retentionMs());
    if (from === self.id) this.#backups.send(entry);
    return entry;
  }

  #release(acquired: Acquisition): void {
    const now = this.#options.clock.now();
    const release = this.#acquisitions.release(acquired, now);
    const owner = this.#ownerOf(release.customer);
    this.#send(owner, release);
    if (owner === this.#options.self.id) {
      this.#backups.release(acquired, release);
    }
  }
}
