/**
 * Fetches an announced configuration version that this host lacks: from the
 * store, and from peers while the store does not respond.
 *
 * Version announcements reach all hosts at once, also through hosts that can't
 * fetch the version themselves, and each host fetches on its own. A relay that
 * the store rejects therefore does not delay its followers.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";

/**
 * Minimum time between the starts of two fetches. Of versions published in
 * quick succession some are skipped, but never the newest.
 */
const MIN_FETCH_INTERVAL_MS = 300;
/**
 * Delay before this host also sends requests to peers: longer than a healthy
 * store takes to respond, and a small part of the 2 s in which a configuration
 * has to take effect.
 */
const STORE_HEAD_START_MS = 150;
/**
 * Delay before the next peer also receives a request if one responds slowly. A
 * peer that has nothing newer responds within a few milliseconds.
 */
const NEXT_PEER_DELAY_MS = 300;
/**
 * Maximum number of peers that receive a request before the store is retried.
 */
const PEERS_PER_ROUND = 4;
/**
 * Random peers that receive a request before the host that announced the
 * version: otherwise all its followers would request a large configuration from
 * it.
 */
const PEERS_BEFORE_HOLDER = 2;
/** Initial delay after a round that did not yield the version. */
const INITIAL_RETRY_DELAY_MS = 200;
const RETRY_DELAY_GROWTH = 1.5;
const MAX_RETRY_DELAY_MS = 1000;

/** Announces that a configuration version exists. */
export type VersionAnnouncement = {
  readonly version: number;
  /** Address of the announcing host if it has the version. */
  readonly holder?: string | undefined;
};

/** Options of {@link ConfigCatchup}. */
export type ConfigCatchupOptions = {
  readonly context: Pick<GatewayContext, "clock" | "random" | "routes">;
  readonly directory: Pick<HostDirectory, "addresses">;
  /**
   * Reads the store's configuration; resolves with whether the store responded.
   */
  readStore(): Promise<boolean>;
  /**
   * Requests a peer's configuration and applies it; resolves when the peer has
   * responded or the request has failed.
   */
  requestFromPeer(address: string): Promise<void>;
};

/** Fetches announced versions, one at a time. */
export class ConfigCatchup {
  readonly #options: ConfigCatchupOptions;
  #announced: VersionAnnouncement = { version: 0 };
  #isFetching = false;
  #fetchedAt: Milliseconds = -Infinity;
  #isStopped = false;

  constructor(options: ConfigCatchupOptions) {
    this.#options = options;
  }

  /** Starts to fetch an announced version unless this host has it. */
  noteVersion(announcement: VersionAnnouncement): void {
    if (announcement.version < this.#announced.version) return;
    if (
      announcement.version > this.#announced.version ||
      announcement.holder !== undefined
    ) {
      this.#announced = announcement;
    }
    if (!this.#isFetching && this.#isBehind) void this.#fetch();
  }

  /** Stops all fetches. */
  stop(): void {
    this.#isStopped = true;
  }

  get #isBehind(): boolean {
    return this.#options.context.routes.version < this.#announced.version;
  }

  async #fetch(): Promise<void> {
    const { clock } = this.#options.context;
    this.#isFetching = true;
    const earliestAt = this.#fetchedAt + MIN_FETCH_INTERVAL_MS;
    if (clock.now() < earliestAt) await sleep(clock, earliestAt - clock.now());
    this.#fetchedAt = clock.now();
    let retryDelayMs = INITIAL_RETRY_DELAY_MS;
    while (this.#isBehind && !this.#isStopped) {
      await this.#runRound();
      if (!this.#isBehind) break;
      await sleep(clock, retryDelayMs);
      retryDelayMs = Math.min(
        MAX_RETRY_DELAY_MS,
        retryDelayMs * RETRY_DELAY_GROWTH,
      );
    }
    this.#isFetching = false;
  }

  /**
   * Reads from the store and then from some peers, also if the store has
   * responded: after a restore it may lack a version that peers have.
   */
  async #runRound(): Promise<void> {
    const { clock } = this.#options.context;
    const store = this.#options.readStore();
    await Promise.race([store, sleep(clock, STORE_HEAD_START_MS)]);
    for (const address of this.#selectPeers()) {
      if (!this.#isBehind) return;
      const response = this.#options.requestFromPeer(address);
      await Promise.race([response, sleep(clock, NEXT_PEER_DELAY_MS)]);
    }
  }

  /** Random peers, with the known holder of the version near the front. */
  #selectPeers(): string[] {
    const { context: { random }, directory } = this.#options;
    const { holder } = this.#announced;
    const others = directory.addresses().filter((address) =>
      address !== holder
    );
    const selected: string[] = [];
    while (selected.length < PEERS_PER_ROUND && others.length > 0) {
      selected.push(...others.splice(Math.floor(random() * others.length), 1));
    }
    if (holder !== undefined) selected.splice(PEERS_BEFORE_HOLDER, 0, holder);
    return selected.slice(0, PEERS_PER_ROUND);
  }
}
