/** Asks peers for the state that they have and this host lacks. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { revisionOf } from "../position.ts";
import type { Synchronizer } from "../state/synchronizer.ts";
import { within } from "../state/within.ts";
import type { JsonClient } from "../upstreams/json_client.ts";
import type { HostDirectory } from "./directory.ts";
import { type PeerState, questionPath, readPeerState } from "./peer_state.ts";

/**
 * Longest wait for a peer's answer, which may be a large configuration or the
 * listing of a large fleet over a slow link.
 */
const ANSWER_TIMEOUT_MS = 1500;

/** What is asked for. */
export const PeerSubject = {
  /** All that the peer has and this host lacks. */
  state: "state",
  /** The configuration only. */
  config: "config",
} as const;
/** One of the values of {@link PeerSubject}. */
export type PeerSubject = typeof PeerSubject[keyof typeof PeerSubject];

/** What questions are asked with. */
export type PeerQuestionsSource = {
  readonly context: GatewayContext;
  readonly directory: HostDirectory;
  readonly synchronizer: Synchronizer;
  /** Makes a client of a peer's address. */
  readonly createClient: (address: string) => JsonClient;
};

/** Asks peers, over kept connections. */
export class PeerQuestions {
  readonly #source: PeerQuestionsSource;
  readonly #clients = new Map<string, JsonClient>();

  constructor(source: PeerQuestionsSource) {
    this.#source = source;
  }

  /** Takes what a peer has; resolves when it has answered or will not. */
  async ask(address: string, subject: PeerSubject): Promise<void> {
    const { context, synchronizer } = this.#source;
    const { clock, events, routes, replicas, suspensions } = context;
    const suspended = suspensions.check();
    const askedAt = clock.now();
    const isConfig = subject === PeerSubject.config;
    const path = questionPath({
      version: routes.version,
      revision: isConfig ? Number.MAX_SAFE_INTEGER : replicas.revision,
    });
    const client = this.#clientOf(address);
    const answer = await within({
      clock,
      timeoutMs: ANSWER_TIMEOUT_MS,
      work: (signal) => client.call({ method: "GET", path }, signal),
      onFault: (reason) =>
        events.note("callFailed", { call: "peer", address, reason }),
    });
    const state = answer && readPeerState(answer.body);
    if (!state) return;
    this.#take(state, address, clock.now());
    const { version, configAgeMs } = state;
    if (configAgeMs === undefined) return;
    if (suspensions.check() !== suspended) return;
    // The peer answered after it was asked, and its word is so much older.
    synchronizer.noteNewest(version, askedAt - configAgeMs);
  }

  #clientOf(address: string): JsonClient {
    const known = this.#clients.get(address);
    if (known) return known;
    const client = this.#source.createClient(address);
    this.#clients.set(address, client);
    return client;
  }

  #take(state: PeerState, address: string, now: Milliseconds): void {
    const { context, directory, synchronizer } = this.#source;
    directory.learn(state.hosts, now);
    if (state.newest !== undefined) {
      synchronizer.noteHeard({ version: state.newest }, address);
    }
    if (!state.config && !state.listing) return;
    context.events.note("peerState", {
      peer: address,
      version: state.config?.version,
      revision: state.listing && revisionOf(state.listing.revision),
    });
    if (state.config) synchronizer.takeConfig(state.config, address);
    if (state.listing) synchronizer.takeListing(state.listing, address);
  }
}
