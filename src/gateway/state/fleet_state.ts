/**
 * Keeps the store state of this host up to date: reads the store, follows
 * another host or requests state from peers, and reports the state to
 * followers.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { HostDirectory } from "../peers/directory.ts";
import type { Link, LinkEvents, LinkTarget } from "../peers/link.ts";
import { startPeerLoops } from "../peers/peer_loop.ts";
import { PeerClient, PeerSubject } from "../peers/peer_client.ts";
import type { PeerConnections } from "../peers/peer_connections.ts";
import type { HostEntry, Store } from "../port.ts";
import type { RouteConfig } from "../routing/model.ts";
import { ConfigCatchup } from "./config_catchup.ts";
import { FleetUpdates } from "./fleet_updates.ts";
import { HallFollower, type ReaderReport } from "./hall_follower.ts";
import { StateServer } from "./state_server.ts";
import { StoreLoops } from "./store_loops.ts";
import type { StoreTimes } from "./store_times.ts";
import { Synchronizer } from "./synchronizer.ts";

/** Options of {@link FleetState}. */
export type FleetStateOptions = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly directory: HostDirectory;
  readonly store: Store;
  readonly times: StoreTimes;
  /** Opens a link to a reader. */
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
  readonly connections: Pick<PeerConnections, "call">;
  /** Called when a configuration has come into force. */
  readonly onConfig: (config: RouteConfig) => void;
};

/** Creates the components that synchronize the store state, and starts them. */
export class FleetState {
  /** Serves the hosts that follow this one. */
  readonly server: StateServer;
  readonly #options: FleetStateOptions;
  readonly #synchronizer: Synchronizer;
  readonly #follower: HallFollower;
  readonly #storeLoops: StoreLoops;
  readonly #peerClient: PeerClient;
  readonly #catchup: ConfigCatchup;
  #isBroadcastScheduled = false;

  constructor(options: FleetStateOptions) {
    const { context, self, directory, store, times, openLink } = options;
    this.#options = options;
    const synchronizer = new Synchronizer({
      context,
      onConfig: options.onConfig,
      onVersionAnnounced: (version) => this.#catchup.noteVersion(version),
      onChange: () => this.#scheduleBroadcast(),
      onDraining: (incarnations) =>
        context.draining.announceListed(incarnations),
      hasFollowers: () => this.server.hasFollowers,
    });
    this.#synchronizer = synchronizer;
    const updates = this.#createUpdates(context);
    this.server = new StateServer({
      context,
      self,
      directory,
      updates,
      storeAgeMs: (now) => synchronizer.reportableAgeMs(now),
      listingAgeMs: (now) => synchronizer.listingAgeMs(now),
      configAgeMs: (now) => synchronizer.configAgeMs(now),
      onNewerVersion: (found, by) => synchronizer.noteVersion(found, by),
      onJoined: (hosts) => this.#follower.announceJoined(hosts),
    });
    this.#follower = new HallFollower({
      context,
      self,
      directory,
      updates,
      openLink,
      followers: () => this.server.hosts,
      onReport: (report) => this.#applyReport(report),
    });
    this.#storeLoops = new StoreLoops({
      context,
      store,
      times,
      synchronizer,
      follower: this.#follower,
      fleetSize: () => directory.count,
    });
    this.#peerClient = new PeerClient({
      context,
      directory,
      synchronizer,
      connections: options.connections,
    });
    context.suspensions.addListener((forMs) => this.#handleSuspension(forMs));
    this.#catchup = new ConfigCatchup({
      context,
      directory,
      readStore: () => this.#storeLoops.readConfig(),
      requestFromPeer: (address) =>
        this.#peerClient.request(address, PeerSubject.config),
    });
  }

  #createUpdates(
    { clock, crashes, limits, draining }: GatewayContext,
  ): FleetUpdates {
    const links = () => [...this.server.links, ...this.#follower.links];
    return new FleetUpdates({ clock, crashes, limits, draining, links });
  }

  /** Sends the state once if several parts of it change together. */
  #scheduleBroadcast(): void {
    if (this.#isBroadcastScheduled) return;
    this.#isBroadcastScheduled = true;
    this.#options.context.clock.after(0, () => {
      this.#isBroadcastScheduled = false;
      this.server.broadcast();
    });
  }

  #handleSuspension(forMs: Milliseconds): void {
    this.#synchronizer.resetAges(forMs);
    this.#follower.resetClocks();
    this.server.noteSuspension();
    this.#storeLoops.resetClock();
  }

  start(): void {
    const { context, self, directory, store } = this.#options;
    const follower = this.#follower;
    startPeerLoops({
      context,
      self,
      store,
      directory,
      synchronizer: this.#synchronizer,
      peerClient: this.#peerClient,
      followers: () => this.server.hosts,
      isListedByReader: () =>
        follower.reader !== self.id && !follower.isRelay &&
        !this.server.hasFollowers,
    });
    this.#storeLoops.start();
    follower.start();
  }

  /** Stops all calls to the store. */
  stop(): void {
    this.#storeLoops.stop();
    this.#catchup.stop();
  }

  /** Age of the newest known store state; Infinity before the first. */
  storeAgeMs(now: Milliseconds): Milliseconds {
    return this.#synchronizer.storeAgeMs(now);
  }

  /**
   * Time since the local configuration was last known to be the store's newest;
   * Infinity before the first time.
   */
  configAgeMs(now: Milliseconds): Milliseconds {
    return this.#synchronizer.configAgeMs(now);
  }

  /** As {@link Synchronizer.listingAgeMs}. */
  get listingAgeMs(): Milliseconds {
    const { clock, suspensions } = this.#options.context;
    suspensions.check();
    return this.#synchronizer.listingAgeMs(clock.now());
  }

  /** As {@link StoreLoops.confirmListing}. */
  confirmListing(): Promise<boolean> {
    return this.#storeLoops.confirmListing();
  }

  /** Applies a report of the reader; false: its listing has a gap. */
  #applyReport(report: ReaderReport): boolean {
    const { context: { clock }, directory } = this.#options;
    const { hosts, hostsGone } = report.message;
    directory.refresh(clock.now());
    if (hosts) directory.add(hosts, clock.now());
    if (hostsGone) directory.remove(hostsGone);
    return this.#synchronizer.applyReport(report);
  }
}
