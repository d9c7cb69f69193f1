/**
 * What this host knows of the store: it reads the store itself, follows a host
 * that does, or asks peers, and tells what it knows to those that follow it.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";
import type { Link, LinkEvents, LinkTarget } from "../peers/link.ts";
import { startPeerLoops } from "../peers/peer_loop.ts";
import { PeerQuestions, PeerSubject } from "../peers/peer_questions.ts";
import type { HostEntry, Store } from "../port.ts";
import type { RouteConfig } from "../routing/model.ts";
import type { JsonClient } from "../upstreams/json_client.ts";
import { ConfigCatchup } from "./config_catchup.ts";
import { FleetNews } from "./fleet_news.ts";
import { HallFollower, type ReaderWord } from "./hall_follower.ts";
import { StateServer } from "./state_server.ts";
import { StoreLoops, type StoreTimes } from "./store_loops.ts";
import { Synchronizer } from "./synchronizer.ts";

/** What the state of the fleet is read from and told to. */
export type FleetStateSource = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly store: Store;
  readonly times: StoreTimes;
  /** Opens a link to a reader. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
  /** Makes a client of a peer's address. */
  readonly createClient: (address: string) => JsonClient;
  /** A configuration has come into force. */
  readonly onConfig: (config: RouteConfig) => void;
};

/** Reads, follows, asks and tells, for as long as the process lives. */
export class FleetState {
  /** The links of the hosts that follow this one. */
  readonly server: StateServer;
  readonly #source: FleetStateSource;
  readonly #synchronizer: Synchronizer;
  readonly #follower: HallFollower;
  readonly #storeLoops: StoreLoops;
  readonly #questions: PeerQuestions;
  readonly #catchup: ConfigCatchup;

  constructor(source: FleetStateSource) {
    const { context, self, directory, store, times, openLink } = source;
    this.#source = source;
    const synchronizer = new Synchronizer({
      context,
      onConfig: source.onConfig,
      onNews: (news) => this.#catchup.heard(news),
      onChange: () => this.server.tell(),
      onLeaving: (incarnations) => context.leaving.listed(incarnations),
      isRelay: () => this.#follower.isRelay,
    });
    this.#synchronizer = synchronizer;
    const news = new FleetNews({
      clock: context.clock,
      crashes: context.crashes,
      limits: context.limits,
      leaving: context.leaving,
      links: () => [...this.server.links, ...this.#follower.links],
    });
    this.server = new StateServer({
      context,
      self,
      directory,
      news,
      storeAgeMs: (now) => synchronizer.tellableAgeMs(now),
      configAgeMs: (now) => synchronizer.configAgeMs(now),
    });
    this.#follower = new HallFollower({
      context,
      self,
      directory,
      news,
      openLink,
      onState: (word) => this.#takeState(word),
    });
    this.#storeLoops = new StoreLoops({
      context,
      store,
      times,
      synchronizer,
      follower: this.#follower,
    });
    this.#questions = new PeerQuestions({
      context,
      directory,
      synchronizer,
      createClient: source.createClient,
    });
    context.suspensions.listen((forMs) => this.#wake(forMs));
    this.#catchup = new ConfigCatchup({
      context,
      directory,
      readStore: () => this.#storeLoops.readConfig(),
      askPeer: (address) => this.#questions.ask(address, PeerSubject.config),
    });
  }

  #wake(forMs: Milliseconds): void {
    this.#synchronizer.forgetAges(forMs);
    this.#follower.forgetClocks();
    this.#storeLoops.forgetClock();
  }

  /** Starts all loops. */
  start(): void {
    const { context, self, directory, store } = this.#source;
    const follower = this.#follower;
    startPeerLoops({
      context,
      self,
      store,
      directory,
      synchronizer: this.#synchronizer,
      questions: this.#questions,
      followers: () => this.server.hosts,
      isNamedByReader: () => follower.reader !== self.id && !follower.isRelay,
    });
    this.#storeLoops.start();
    follower.start();
  }

  /** The store is not called any more. */
  stop(): void {
    this.#storeLoops.stop();
    this.#catchup.stop();
  }

  /** Age of the newest answer of the store; Infinity before the first. */
  storeAgeMs(now: Milliseconds): Milliseconds {
    return this.#synchronizer.storeAgeMs(now);
  }

  /**
   * Age of the newest answer that no newer configuration than ours was in the
   * store; Infinity before the first.
   */
  configAgeMs(now: Milliseconds): Milliseconds {
    return this.#synchronizer.configAgeMs(now);
  }

  /** Takes the report of the reader; false: its listing has a gap. */
  #takeState(word: ReaderWord): boolean {
    const { context: { clock }, directory } = this.#source;
    const { hosts, hostsGone } = word.message;
    directory.refresh(clock.now());
    if (hosts) directory.learn(hosts, clock.now());
    if (hostsGone) directory.forget(hostsGone);
    return this.#synchronizer.takeState(word);
  }
}
