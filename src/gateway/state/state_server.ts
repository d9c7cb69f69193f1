/** Tells followers what this host knows of the store, as soon as it changes. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";
import type { ClockEcho } from "../peers/remote_clock.ts";
import { acceptLink, type Link, type LinkEvents } from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import type { RouteConfig } from "../routing/model.ts";
import { isNews, type News } from "./fleet_news.ts";
import {
  encodeState,
  FollowerMessageSchema,
  type StateMessage,
} from "./state_messages.ts";

/**
 * Followers that were told nothing for so long are told again: what the store
 * says anew goes out at once, so this is for when it says nothing.
 */
const STATE_MS = 1000;

/**
 * A larger configuration isn't told: its followers hear of the version and read
 * it themselves. For each of a reader's followers at once it would keep the
 * reader's link busy for longer than a configuration may take to be in force.
 */
const MOST_CONFIG_BYTES = 32 * 1024;

/** What the server tells from. */
export type StateServerSource = {
  readonly context: Pick<
    GatewayContext,
    "clock" | "routes" | "replicas" | "eras"
  >;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly news: News;
  /** Age of what this host knows of the store; Infinity: none to be told. */
  storeAgeMs(now: Milliseconds): Milliseconds;
  /** Age of what this host knows of the configuration; Infinity: it has none. */
  configAgeMs(now: Milliseconds): Milliseconds;
};

type Follower = {
  readonly link: Link;
  /** Revision of its listing; undefined until it has told. */
  revision: number | undefined;
  /** Version of its configuration. */
  version: number;
  /** Not yet sent. */
  echo: ClockEcho | undefined;
  host: HostEntry | undefined;
  toldAt: Milliseconds;
  readonly hosts: Map<HostId, string>;
  /** The directory's entries that `hosts` was made from. */
  from: readonly HostEntry[] | undefined;
};

/** The followers of this host. */
export class StateServer {
  readonly #source: StateServerSource;
  readonly #followers = new Set<Follower>();
  /** The configuration that was measured last. */
  #measured: RouteConfig | undefined;
  #isSmall = false;

  constructor(source: StateServerSource) {
    this.#source = source;
    this.#repeat();
  }

  /** Serves a link that a follower has opened. */
  accept(incoming: IncomingMessage, answer: ServerResponse): void {
    answer.writeHead(200, { "Content-Type": "application/x-ndjson" });
    answer.flushHeaders();
    const { clock } = this.#source.context;
    this.join((events) => acceptLink(incoming, answer, { clock, events }));
  }

  /** Serves a follower over the link that `open` makes. */
  join(open: (events: LinkEvents) => Link): void {
    const link = open({
      line: (text) => this.#take(follower, text),
      closed: () => this.#followers.delete(follower),
    });
    const follower: Follower = {
      link,
      revision: undefined,
      version: 0,
      echo: undefined,
      host: undefined,
      toldAt: -Infinity,
      hosts: new Map(),
      from: undefined,
    };
    this.#followers.add(follower);
  }

  /** The hosts that follow this one now. */
  get hosts(): HostEntry[] {
    return [...this.#followers].flatMap(({ host }) => host ? [host] : []);
  }

  /** The links of those hosts. */
  get links(): Link[] {
    return [...this.#followers].filter(({ host }) => host !== undefined)
      .map(({ link }) => link);
  }

  /** Something has changed: all followers are told now. */
  tell(): void {
    for (const follower of this.#followers) this.#send(follower);
  }

  #repeat(): void {
    const { clock } = this.#source.context;
    clock.after(STATE_MS, () => {
      const dueAt = clock.now() - STATE_MS;
      for (const follower of this.#followers) {
        if (follower.toldAt <= dueAt) this.#send(follower);
      }
      this.#repeat();
    });
  }

  #take(follower: Follower, text: string): void {
    const message = readJson(FollowerMessageSchema, text);
    if (!message || message.type === "ping") return;
    const { context, news, directory } = this.#source;
    if (isNews(message)) return news.take(follower.link, message);
    const now = context.clock.now();
    follower.echo = { sentAt: message.sentAt, heardAt: now };
    if (message.type === "sync") return;
    if (!follower.host) news.greet(follower.link);
    follower.revision = message.revision;
    follower.version = message.version;
    follower.host = message.host;
    directory.learn([message.host], now);
    this.#send(follower);
  }

  #send(follower: Follower): void {
    if (follower.revision === undefined) return;
    const message = this.#messageFor(follower, follower.revision);
    if (message.listing) follower.revision = message.listing.revision;
    follower.version = Math.max(follower.version, message.version);
    follower.echo = undefined;
    follower.toldAt = this.#source.context.clock.now();
    follower.link.send(encodeState(message));
  }

  #messageFor(follower: Follower, revision: number): StateMessage {
    const { context, storeAgeMs } = this.#source;
    const { routes, replicas, clock, eras } = context;
    const age = storeAgeMs(clock.now());
    const isFresh = Number.isFinite(age);
    const isNewer = revision !== replicas.revision;
    const isSettled = eras.isSettled(clock.now());
    // A listing that may be of an older copy isn't told, only that it is read: so
    // followers keep what they know, and need not all list the replicas at once.
    const listing = isFresh && isNewer && isSettled
      ? replicas.after(revision)
      : undefined;
    return {
      type: "state",
      version: routes.version,
      ...this.#configFor(follower),
      ...(eras.era > 0 ? { era: eras.era } : {}),
      ...(isSettled ? {} : { isSettling: true as const }),
      ...(follower.echo ? { echo: follower.echo } : {}),
      ...(isFresh ? { ageMs: Math.round(age) } : {}),
      ...(listing ? { listing } : {}),
      ...this.#hostsFor(follower),
    };
  }

  #configFor(
    follower: Follower,
  ): Pick<StateMessage, "config" | "configAsOf" | "newest"> {
    const { context: { routes, clock }, configAgeMs } = this.#source;
    const now = clock.now();
    const asOf = Math.floor(now - configAgeMs(now));
    const isNewer = routes.version > follower.version;
    const config = isNewer ? routes.config : undefined;
    return {
      ...(Number.isFinite(asOf) ? { configAsOf: asOf } : {}),
      ...(routes.isBehind ? { newest: routes.newestVersion } : {}),
      ...(config && this.#isTellable(config) ? { config } : {}),
    };
  }

  /** Whether a configuration is small enough to be told to all followers. */
  #isTellable(config: RouteConfig): boolean {
    if (this.#measured !== config) {
      this.#measured = config;
      const bytes = Buffer.byteLength(JSON.stringify(config));
      this.#isSmall = bytes <= MOST_CONFIG_BYTES;
    }
    return this.#isSmall;
  }

  #hostsFor(follower: Follower): Pick<StateMessage, "hosts" | "hostsGone"> {
    const { self, directory } = this.#source;
    const entries = directory.entries();
    if (follower.from === entries) return {};
    follower.from = entries;
    const now = [self, ...entries]
      .filter((one) => one.id !== follower.host?.id);
    const hosts = now.filter((one) =>
      follower.hosts.get(one.id) !== one.address
    );
    const live = new Set(now.map((one) => one.id));
    const hostsGone = [...follower.hosts.keys()].filter((id) => !live.has(id));
    for (const one of hosts) follower.hosts.set(one.id, one.address);
    for (const id of hostsGone) follower.hosts.delete(id);
    return {
      ...(hosts.length > 0 ? { hosts } : {}),
      ...(hostsGone.length > 0 ? { hostsGone } : {}),
    };
  }
}
