/** Requests state from peers that is newer than this host's. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { revisionOf } from "../position.ts";
import type { Synchronizer } from "../state/synchronizer.ts";
import { withTimeout } from "../state/with_timeout.ts";
import type { JsonClient } from "../upstreams/json_client.ts";
import type { HostDirectory } from "./directory.ts";
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
  /** Creates an HTTP client for a peer's address. */
  readonly createClient: (address: string) => JsonClient;
};

/** Requests state from peers, with one HTTP client for each address. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  readonly #clients = new Map<string, JsonClient>();

  constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  /**
   * Requests a peer's state and applies it; never rejects on a failed request.
   */
  async request(address: string, subject: PeerSubject): Promise<void> {
    const { context, synchronizer } = this.#options;
    const { clock, events, routes, replicas, suspensions } = context;
    const suspensionsBefore = suspensions.check();
    const requestedAt = clock.now();
    const isConfig = subject === PeerSubject.config;
    const path = stateRequestPath({
      version: routes.version,
      revision: isConfig ? Number.MAX_SAFE_INTEGER : replicas.revision,
    });
    const client = this.#clientOf(address);
    const response = await withTimeout({
      clock,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      work: (signal) => client.call({ method: "GET", path }, signal),
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

  #clientOf(address: string): JsonClient {
    const existing = this.#clients.get(address);
    if (existing) return existing;
    const client = this.#options.createClient(address);
    this.#clients.set(address, client);
    return client;
  }

  #apply(state: PeerState, address: string, now: Milliseconds): void {
    const { context, directory, synchronizer } = this.#options;
    directory.add(state.hosts, now);
    if (state.newest !== undefined) {
      synchronizer.noteVersion({ version: state.newest }, address);
    }
    if (!state.config && !state.listing) return;
    context.events.note("peerState", {
      peer: address,
      version: state.config?.version,
      revision: state.listing && revisionOf(state.listing.revision),
    });
    if (state.config) synchronizer.applyConfig(state.config, address);
    if (state.listing) synchronizer.applyListing(state.listing, address);
  }
}
