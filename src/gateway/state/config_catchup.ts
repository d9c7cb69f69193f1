/**
 * Fetches a configuration that this host has heard of and doesn't hold: from
 * the store, and from peers where the store does not answer this host.
 *
 * The news of a version goes to all hosts at once, also through hosts that
 * can't have the version themselves, and it alone starts the fetch. So whom a
 * host follows decides how soon it hears, never how long the fetch takes, also
 * where the store turns the relay of a hall away.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";

/**
 * Least time between the beginnings of two fetches: of configurations in quick
 * succession some are skipped, the newest never.
 */
const FETCH_PAUSE_MS = 300;
/**
 * The store is given so long before peers are asked, too: some 30 times an
 * answer of a healthy store, and a small part of the 2 s in which a
 * configuration has to be in force.
 */
const STORE_HEAD_START_MS = 150;
/**
 * A peer is given so long to answer before the next one is asked, too. One
 * that has nothing newer says so within a few ms.
 */
const NEXT_PEER_MS = 300;
/** Peers that are asked before the store is tried again. */
const PEERS_A_ROUND = 4;
/**
 * Peers drawn at random that are asked before the one that told of the version:
 * it has told all its followers, who would all ask it for a large one.
 */
const PEERS_BEFORE_TELLER = 2;
/** Pause after a round in which nobody had it; it grows up to the longest. */
const ROUND_PAUSE_MS = 200;
const ROUND_PAUSE_GROWTH = 1.5;
const LONGEST_ROUND_PAUSE_MS = 1000;

/** News of a version. */
export type VersionNews = {
  readonly version: number;
  /** Address of the host that told it, where that one holds it. */
  readonly holder?: string | undefined;
};

/** What a catch-up is made from. */
export type ConfigCatchupSource = {
  readonly context: Pick<GatewayContext, "clock" | "random" | "routes">;
  readonly directory: Pick<HostDirectory, "addresses">;
  /** Reads the store's configuration; whether the store answered. */
  readStore(): Promise<boolean>;
  /** Takes what a peer has; resolves when it has answered or will not. */
  askPeer(address: string): Promise<void>;
};

/** Fetches one version after the other. */
export class ConfigCatchup {
  readonly #source: ConfigCatchupSource;
  #news: VersionNews = { version: 0 };
  #isFetching = false;
  #fetchedAt: Milliseconds = -Infinity;
  #isStopped = false;

  constructor(source: ConfigCatchupSource) {
    this.#source = source;
  }

  /** There is such a version: it is fetched, unless this host holds it. */
  heard(news: VersionNews): void {
    if (news.version < this.#news.version) return;
    if (news.version > this.#news.version || news.holder !== undefined) {
      this.#news = news;
    }
    if (!this.#isFetching && this.#isBehind) void this.#fetch();
  }

  /** Nothing is fetched any more. */
  stop(): void {
    this.#isStopped = true;
  }

  get #isBehind(): boolean {
    return this.#source.context.routes.version < this.#news.version;
  }

  async #fetch(): Promise<void> {
    const { clock } = this.#source.context;
    this.#isFetching = true;
    const earliestAt = this.#fetchedAt + FETCH_PAUSE_MS;
    if (clock.now() < earliestAt) await sleep(clock, earliestAt - clock.now());
    this.#fetchedAt = clock.now();
    let pauseMs = ROUND_PAUSE_MS;
    while (this.#isBehind && !this.#isStopped) {
      await this.#round();
      if (!this.#isBehind) break;
      await sleep(clock, pauseMs);
      pauseMs = Math.min(
        LONGEST_ROUND_PAUSE_MS,
        pauseMs * ROUND_PAUSE_GROWTH,
      );
    }
    this.#isFetching = false;
  }

  /**
   * Asks the store and some peers, also where the store has answered: one that
   * came back from an older copy may lack a version that peers hold.
   */
  async #round(): Promise<void> {
    const { clock } = this.#source.context;
    const store = this.#source.readStore();
    await Promise.race([store, sleep(clock, STORE_HEAD_START_MS)]);
    for (const address of this.#peersInTurn()) {
      if (!this.#isBehind) return;
      const asked = this.#source.askPeer(address);
      await Promise.race([asked, sleep(clock, NEXT_PEER_MS)]);
    }
  }

  /** Peers at random, and among the first one that surely holds it. */
  #peersInTurn(): string[] {
    const { context: { random }, directory } = this.#source;
    const { holder } = this.#news;
    const others = directory.addresses().filter((one) => one !== holder);
    const drawn: string[] = [];
    while (drawn.length < PEERS_A_ROUND && others.length > 0) {
      drawn.push(...others.splice(Math.floor(random() * others.length), 1));
    }
    if (holder !== undefined) drawn.splice(PEERS_BEFORE_TELLER, 0, holder);
    return drawn.slice(0, PEERS_A_ROUND);
  }
}
