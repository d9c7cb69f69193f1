/** Opens tunnels to replicas through whichever peer reaches them first. */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Clock } from "../clock.ts";
import type { HostEntry } from "../port.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { CarrierLinks } from "./carrier_links.ts";
import { orderPeers } from "./peer_choice.ts";
import {
  openTunnel,
  type TunnelAttempt,
  type TunnelOutcome,
} from "./tunnel_client.ts";

/** Delay before the next peer is asked while an earlier one has not answered. */
const PEER_STAGGER_MS = 25;
/** Maximum number of peers that are asked for one tunnel. */
const MAX_PEERS = 5;
/** A peer that failed is asked after the others for this time. */
const FAILED_PEER_MS = 1000;
/** Maximum number of replicas whose last peer is stored. */
const MAX_REPLICAS = 3000;

/** Options of {@link TunnelDialer}. */
export type TunnelDialerOptions = {
  readonly clock: Clock;
  readonly self: { readonly id: HostId; readonly hall: string };
  /** All other hosts of the fleet. */
  readonly peers: () => readonly HostEntry[];
  readonly metrics: Pick<Metrics, "count">;
  readonly carriers: Pick<CarrierLinks, "isStopping">;
};

/** Opens tunnels and remembers which peers work. */
export class TunnelDialer {
  readonly #options: TunnelDialerOptions;
  /** The peer that last opened a tunnel, by incarnation of the replica. */
  readonly #lastPeers = new Map<string, HostId>();
  readonly #failedUntil = new Map<HostId, Milliseconds>();

  constructor(options: TunnelDialerOptions) {
    this.#options = options;
  }

  /** Whether there is any other host. */
  get hasPeers(): boolean {
    return this.#options.peers().length > 0;
  }

  /** The peer that last opened a tunnel to the replica. */
  peerOf(incarnation: string): HostId | undefined {
    return this.#lastPeers.get(incarnation);
  }

  /** Forgets a replica that is no longer listed. */
  removeReplica(incarnation: string): void {
    this.#lastPeers.delete(incarnation);
  }

  /**
   * Opens a tunnel. Peers are asked one after the other, each a little later,
   * and the first tunnel is used. A refusal counts only if no peer contradicts
   * it: a peer's own path may be the reason. So none counts while the peer that
   * reached the replica last does not answer.
   */
  open(
    replica: ReplicaEntry,
    timeoutMs: Milliseconds,
  ): Promise<TunnelOutcome> {
    const { clock } = this.#options;
    const peers = this.#choosePeers(replica);
    return new Promise((resolve) => {
      const attempts: TunnelAttempt[] = [];
      const last = this.peerOf(replica.incarnation);
      const pending = new Set<HostId>();
      let failure: TunnelOutcome = { type: "unavailable" };
      let isSettled = false;
      let cancelStagger = () => {};
      const finish = (outcome: TunnelOutcome) => {
        isSettled = true;
        cancelStagger();
        cancelTimeout();
        for (const attempt of attempts) attempt.cancel();
        resolve(outcome);
      };
      const cancelTimeout = clock.after(timeoutMs, () => {
        const isUndecided = last !== undefined && pending.has(last);
        finish(isUndecided ? { type: "unavailable" } : failure);
      });
      const handle = (peer: HostEntry, outcome: TunnelOutcome) => {
        pending.delete(peer.id);
        if (isSettled) return closeTunnel(outcome);
        this.#noteOutcome(peer, replica, outcome);
        if (outcome.type === "open") return finish(outcome);
        if (outcome.type !== "unavailable") failure = outcome;
        if (attempts.length < peers.length) startNext();
        else if (pending.size === 0) finish(failure);
      };
      const startNext = () => {
        cancelStagger();
        const peer = isSettled ? undefined : peers[attempts.length];
        if (!peer) return;
        const attempt = this.#start(peer, replica, timeoutMs);
        attempts.push(attempt);
        pending.add(peer.id);
        cancelStagger = clock.after(PEER_STAGGER_MS, startNext);
        void attempt.outcome.then((outcome) => handle(peer, outcome));
      };
      if (peers.length === 0) finish(failure);
      else startNext();
    });
  }

  #start(
    peer: HostEntry,
    replica: ReplicaEntry,
    timeoutMs: Milliseconds,
  ): TunnelAttempt {
    const { clock, self } = this.#options;
    const ends = {
      self: self.id,
      peer: peer.address,
      replica: replica.address,
    };
    return openTunnel(ends, { clock, timeoutMs });
  }

  #choosePeers(replica: ReplicaEntry): HostEntry[] {
    const { peers, self, clock, carriers } = this.#options;
    const now = clock.now();
    const serving = peers().filter(({ address }) =>
      !carriers.isStopping(address)
    );
    const ordered = orderPeers(serving, {
      self,
      replica,
      last: this.peerOf(replica.incarnation),
      hasFailed: (peer) => (this.#failedUntil.get(peer) ?? 0) > now,
    });
    return ordered.slice(0, MAX_PEERS);
  }

  #noteOutcome(
    { id }: HostEntry,
    { incarnation }: ReplicaEntry,
    { type }: TunnelOutcome,
  ): void {
    const { clock, metrics } = this.#options;
    metrics.count(`tunnels_${type}`);
    if (type !== "open") {
      this.#failedUntil.set(id, clock.now() + FAILED_PEER_MS);
      evictOldest(this.#failedUntil, MAX_REPLICAS);
      return;
    }
    this.#failedUntil.delete(id);
    this.#lastPeers.delete(incarnation);
    this.#lastPeers.set(incarnation, id);
    evictOldest(this.#lastPeers, MAX_REPLICAS);
  }
}

function closeTunnel(outcome: TunnelOutcome): void {
  if (outcome.type === "open") outcome.socket.destroy();
}
