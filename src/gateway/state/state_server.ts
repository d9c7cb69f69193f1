/** Sends the store state of this host to its followers whenever it changes. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import { type HostDirectory, isSameHost } from "../peers/directory.ts";
import type { ClockEcho } from "../peers/remote_clock.ts";
import { acceptLink, type Link, type LinkEvents } from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import { eraOf } from "../position.ts";
import type { ListingComparison, ListingDelta } from "../replicas/model.ts";
import type { RouteConfig } from "../routing/model.ts";
import type { VersionAnnouncement } from "./config_catchup.ts";
import { isUpdate, type UpdateExchange } from "./fleet_updates.ts";
import {
  encodeState,
  FollowerMessageSchema,
  type StateMessage,
} from "./state_messages.ts";

/**
 * Interval at which the state is sent again while it does not change; changes
 * are sent at once.
 */
const RESEND_INTERVAL_MS = 1000;

/** Interval at which a follower whose listing changes is sent its digest. */
const DIGEST_INTERVAL_MS = RESEND_INTERVAL_MS;

/**
 * Followers fetch a larger configuration themselves after its version is
 * announced. Sending it to all followers at once would saturate the host's
 * uplink for longer than a configuration may take to come into force.
 */
const MAX_CONFIG_BYTES = 32 * 1024;

/** Options of {@link StateServer}. */
export type StateServerOptions = {
  readonly context: Pick<
    GatewayContext,
    "clock" | "routes" | "replicas" | "eras" | "metrics"
  >;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly updates: UpdateExchange;
  /** Age of the store state to report; Infinity: none is reported. */
  storeAgeMs(now: Milliseconds): Milliseconds;
  /** Age of the listing, wherever it has come from; Infinity: unknown. */
  listingAgeMs(now: Milliseconds): Milliseconds;
  /**
   * Time since the local configuration was last known to be the store's newest;
   * Infinity: never.
   */
  configAgeMs(now: Milliseconds): Milliseconds;
  /** Called when a follower has a version that was not announced here. */
  onNewerVersion(announcement: VersionAnnouncement, follower: HostId): void;
  /** Called with hosts that have begun to follow this one, directly or not. */
  onJoined(hosts: readonly HostEntry[]): void;
};

type SentDigest = { readonly value: number; readonly at: Milliseconds };

type Follower = {
  readonly link: Link;
  /** Revision of its listing; undefined before its first message. */
  revision: number | undefined;
  /** The digest that was last sent to it, and when; undefined: none yet. */
  digest: SentDigest | undefined;
  /** Its listing when it sent that revision. */
  comparison: ListingComparison | undefined;
  /** Version of its configuration. */
  version: number;
  /** Clock echo to include in the next message. */
  echo: ClockEcho | undefined;
  /** This host was suspended since the last message. */
  isResumed: boolean;
  host: HostEntry | undefined;
  lastSentAt: Milliseconds;
  /** The hosts that were sent to it. */
  readonly sentHosts: Map<HostId, HostEntry>;
  /** The directory's entries as of the last message. */
  sentEntries: readonly HostEntry[] | undefined;
};

/** Serves the followers of this host. */
export class StateServer {
  readonly #options: StateServerOptions;
  readonly #followers = new Set<Follower>();
  /** The configuration whose size was measured last. */
  #measuredConfig: RouteConfig | undefined;
  #isMeasuredSmall = false;

  constructor(options: StateServerOptions) {
    this.#options = options;
    this.#scheduleResend();
  }

  /** Serves a link that a follower has opened. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(200, { "Content-Type": "application/x-ndjson" });
    response.flushHeaders();
    const { clock, metrics } = this.#options.context;
    this.join((events) =>
      acceptLink(request, response, { clock, metrics, events })
    );
  }

  /** Serves a follower over the link that `open` creates. */
  join(open: (events: LinkEvents) => Link): void {
    const link = open({
      line: (text) => this.#receive(follower, text),
      closed: () => this.#followers.delete(follower),
    });
    const follower: Follower = {
      link,
      revision: undefined,
      digest: undefined,
      comparison: undefined,
      version: 0,
      echo: undefined,
      isResumed: false,
      host: undefined,
      lastSentAt: -Infinity,
      sentHosts: new Map(),
      sentEntries: undefined,
    };
    this.#followers.add(follower);
  }

  /** The hosts that follow this one. */
  get hosts(): HostEntry[] {
    return [...this.#followers].flatMap(({ host }) => host ? [host] : []);
  }

  get hasFollowers(): boolean {
    return [...this.#followers].some(({ host }) => host !== undefined);
  }

  /** The links of those hosts. */
  get links(): Link[] {
    return [...this.#followers].filter(({ host }) => host !== undefined)
      .map(({ link }) => link);
  }

  /** Records that this host was suspended, for the next message to each. */
  noteSuspension(): void {
    for (const follower of this.#followers) follower.isResumed = true;
  }

  /** Sends the state to all followers. */
  broadcast(): void {
    for (const follower of this.#followers) this.#send(follower);
  }

  #scheduleResend(): void {
    const { clock } = this.#options.context;
    clock.after(RESEND_INTERVAL_MS, () => {
      const dueAt = clock.now() - RESEND_INTERVAL_MS;
      for (const follower of this.#followers) {
        if (follower.lastSentAt <= dueAt) this.#send(follower);
      }
      this.#scheduleResend();
    });
  }

  #receive(follower: Follower, text: string): void {
    const message = readJson(FollowerMessageSchema, text);
    if (!message || message.type === "ping") return;
    const { context, updates } = this.#options;
    if (isUpdate(message)) return updates.receive(follower.link, message);
    const now = context.clock.now();
    if (message.type === "joined") return this.#addHosts(message.hosts, now);
    follower.echo = { sentAt: message.sentAt, heardAt: now };
    if (message.type === "sync") {
      return this.#noteVersion(message.version ?? 0, follower.host);
    }
    if (!follower.host) {
      updates.sendAll(follower.link);
      this.#addHosts([message.host], now);
    }
    follower.revision = message.revision;
    follower.comparison = message.comparison;
    follower.version = message.version;
    follower.host = message.host;
    this.#send(follower);
    this.#noteVersion(message.version, message.host);
  }

  /**
   * Reports a follower's newer version: a restore may have lost it, so that the
   * store never sends it to this host.
   */
  #noteVersion(version: number, host: HostEntry | undefined): void {
    const { context: { routes }, onNewerVersion } = this.#options;
    if (!host || version <= routes.newestVersion) return;
    onNewerVersion({ version, holder: host.address }, host.id);
  }

  #addHosts(hosts: readonly HostEntry[], now: Milliseconds): void {
    const { directory, onJoined } = this.#options;
    directory.add(hosts, now);
    onJoined(hosts);
  }

  #send(follower: Follower): void {
    if (follower.revision === undefined) return;
    const message = this.#messageFor(follower, follower.revision);
    const now = this.#options.context.clock.now();
    if (message.listing) {
      const { digest } = message.listing;
      if (digest !== undefined) follower.digest = { value: digest, at: now };
      follower.revision = message.listing.revision;
      follower.comparison = undefined;
    }
    follower.version = Math.max(follower.version, message.version);
    follower.echo = undefined;
    follower.isResumed = false;
    follower.lastSentAt = now;
    follower.link.send(encodeState(message));
  }

  #messageFor(follower: Follower, revision: number): StateMessage {
    const { context, storeAgeMs } = this.#options;
    const { routes, clock, eras } = context;
    const age = storeAgeMs(clock.now());
    const isFresh = Number.isFinite(age);
    const isSettled = eras.isSettled(clock.now());
    // A listing of an unsettled era may come from an older backup and is
    // withheld. The age is still reported, so that followers don't all list the
    // replicas.
    const listing = isFresh && isSettled
      ? this.#checkedDeltaFor(follower, revision)
      : undefined;
    return {
      type: "state",
      version: routes.version,
      ...this.#configFor(follower),
      ...(eras.era > 0 ? { era: eras.era } : {}),
      ...(isSettled ? {} : { isSettling: true as const }),
      ...(follower.isResumed ? { isResumed: true as const } : {}),
      ...(follower.echo ? { echo: follower.echo } : {}),
      ...(isFresh ? { ageMs: Math.round(age), ...this.#listedAsOf() } : {}),
      ...(listing ? { listing } : {}),
      ...this.#hostsFor(follower),
    };
  }

  #listedAsOf(): Pick<StateMessage, "listedAsOf"> {
    const { context: { clock }, listingAgeMs } = this.#options;
    const now = clock.now();
    const listedAsOf = Math.floor(now - listingAgeMs(now));
    return Number.isFinite(listedAsOf) ? { listedAsOf } : {};
  }

  /**
   * What the follower lacks; undefined if nothing. Has a digest if the last one
   * was sent some time ago, or if the follower's listing is of another era.
   */
  #checkedDeltaFor(
    follower: Follower,
    revision: number,
  ): ListingDelta | undefined {
    const { replicas, clock } = this.#options.context;
    const { value, at = -Infinity } = follower.digest ?? {};
    const isDue = clock.now() - at >= DIGEST_INTERVAL_MS;
    const isUnchecked = isDue && value !== replicas.digest;
    if (revision === replicas.revision && !isUnchecked) return undefined;
    const delta = this.#deltaFor(follower, revision);
    if (!delta) return undefined;
    if (!replicas.isVerified) return { ...delta, isUnverified: true };
    const isOfOtherEra = eraOf(delta.since) !== eraOf(delta.revision);
    const hasDigest = isDue || isOfOtherEra;
    return hasDigest ? { ...delta, digest: replicas.digest } : delta;
  }

  /**
   * The changes since the follower's listing, or what differs from it; all of
   * the listing only if the follower has none. Many followers that started
   * before this host have listings from before its first one.
   */
  #deltaFor(
    { comparison }: Follower,
    revision: number,
  ): ListingDelta | undefined {
    const { replicas } = this.#options.context;
    const delta = replicas.deltaSince(revision);
    const isFull = delta !== undefined && delta.since < 0;
    return isFull && comparison ? replicas.deltaTo(comparison) : delta;
  }

  #configFor(
    follower: Follower,
  ): Pick<StateMessage, "config" | "configAsOf" | "newest"> {
    const { context: { routes, clock }, configAgeMs } = this.#options;
    const now = clock.now();
    const asOf = Math.floor(now - configAgeMs(now));
    const isNewer = routes.version > follower.version;
    const config = isNewer ? routes.config : undefined;
    return {
      ...(Number.isFinite(asOf) ? { configAsOf: asOf } : {}),
      ...(routes.isBehind ? { newest: routes.newestVersion } : {}),
      ...(config && this.#isSmall(config) ? { config } : {}),
    };
  }

  /** Whether a configuration is small enough to be sent to all followers. */
  #isSmall(config: RouteConfig): boolean {
    if (this.#measuredConfig !== config) {
      this.#measuredConfig = config;
      const bytes = Buffer.byteLength(JSON.stringify(config));
      this.#isMeasuredSmall = bytes <= MAX_CONFIG_BYTES;
    }
    return this.#isMeasuredSmall;
  }

  #hostsFor(follower: Follower): Pick<StateMessage, "hosts" | "hostsGone"> {
    const { self, directory } = this.#options;
    const entries = directory.entries();
    if (follower.sentEntries === entries) return {};
    follower.sentEntries = entries;
    const current = [self, ...entries]
      .filter((host) => host.id !== follower.host?.id);
    const hosts = current.filter((host) => {
      const sent = follower.sentHosts.get(host.id);
      return sent === undefined || !isSameHost(sent, host);
    });
    const live = new Set(current.map((host) => host.id));
    const hostsGone = [...follower.sentHosts.keys()].filter((id) =>
      !live.has(id)
    );
    for (const host of hosts) follower.sentHosts.set(host.id, host);
    for (const id of hostsGone) follower.sentHosts.delete(id);
    return {
      ...(hosts.length > 0 ? { hosts } : {}),
      ...(hostsGone.length > 0 ? { hostsGone } : {}),
    };
  }
}
