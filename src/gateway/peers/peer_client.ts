/** Requests state from peers that is newer than this host's. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { revisionOf } from "../position.ts";
import type { Synchronizer } from "../state/synchronizer.ts";
import { withTimeout } from "../state/with_timeout.ts";
import type { HostDirectory } from "./directory.ts";
import type { PeerConnections } from "./peer_connections.ts";
import {
  type PeerState,
  readPeerState,
  stateRequestPath,
} from "./peer_state.ts";

/**
 * Allows for a large configuration, or the listing of a large fleet, over a
 * slow connection.
 */
const RESPONSE_TIMEOUT_MS = 1500;

/** The part of a peer's state that is requested. */
export const PeerSubject = {
  /** Everything that is newer than this host's state. */
  state: "state",
  /** The configuration only. */
  config: "config",
} as const;
/** One of the values of {@link PeerSubject}. */
export type PeerSubject = typeof PeerSubject[keyof typeof PeerSubject];

/** Options of the client. */
export type PeerClientOptions = {
  readonly context: GatewayContext;
  readonly directory: HostDirectory;
  readonly synchronizer: Synchronizer;
  readonly connections: Pick<PeerConnections, "call">;
};

/** Requests state from peers. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  /** False after changes that didn't match this host's listing. */
  #takesChanges = true;

  constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  /**
   * Requests a peer's state and applies it; never rejects on a failed request.
   */
  async request(address: string, subject: PeerSubject): Promise<void> {
    const { context, synchronizer, connections } = this.#options;
    const { clock, events, routes, replicas, suspensions } = context;
    const suspensionsBefore = suspensions.check();
    const requestedAt = clock.now();
    const isConfig = subject === PeerSubject.config;
    const path = stateRequestPath({
      version: routes.version,
      revision: isConfig ? Number.MAX_SAFE_INTEGER : replicas.revision,
      base: this.#takesChanges && replicas.deltaBase >= 0
        ? replicas.deltaBase
        : undefined,
    });
    const response = await withTimeout({
      clock,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      work: (signal) =>
        connections.call(address, { method: "GET", path, signal }),
      onFault: (reason) =>
        events.note("callFailed", { call: "peer", address, reason }),
    });
    const state = response && readPeerState(response.body);
    if (!state) return;
    this.#apply(state, address, clock.now());
    const { version, configAgeMs } = state;
    if (configAgeMs === undefined) return;
    if (suspensions.check() !== suspensionsBefore) return;
    // The age is counted from the request: the peer responded after it.
    synchronizer.noteNewest(version, requestedAt - configAgeMs);
  }

  #apply(state: PeerState, address: string, now: Milliseconds): void {
    const { context, directory, synchronizer } = this.#options;
    directory.add(state.hosts, now);
    if (state.newest !== undefined) {
      synchronizer.noteVersion({ version: state.newest }, address);
    }
    const { changes } = state;
    const listing = state.listing ??
      (changes && context.replicas.listingAfter(changes));
    if (listing || changes) this.#takesChanges = listing !== undefined;
    if (!state.config && !listing) return;
    context.events.note("peerState", {
      peer: address,
      version: state.config?.version,
      revision: listing && revisionOf(listing.revision),
    });
    if (state.config) synchronizer.applyConfig(state.config, address);
    if (listing) synchronizer.applyListing(listing, address);
  }
}
