/** Finds out whether this host, or a peer, connects to a replica. */
import PQueue from "p-queue";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Connect } from "../upstreams/connect.ts";
import { probeAddress, type ProbeResult } from "../upstreams/probe.ts";
import { HallVerdicts, type PeerVerdict } from "./hall_verdicts.ts";
import type { TunnelOutcome } from "./tunnel_client.ts";
import type { TunnelDialer } from "./tunnel_dialer.ts";

/** Maximum number of replicas about which peers are asked at the same time. */
const MAX_QUESTIONS = 4;

/** Options of {@link PathProber}. */
export type PathProberOptions = {
  readonly clock: Clock;
  readonly connect: Connect;
  readonly dialer: Pick<TunnelDialer, "open">;
  /** Time within which a connection is established if the path is intact. */
  readonly connectTimeoutMs: Milliseconds;
  readonly tunnelTimeoutMs: Milliseconds;
};

/** Opens connections to replicas, sends nothing and closes them. */
export class PathProber {
  readonly #options: PathProberOptions;
  readonly #verdicts = new HallVerdicts();
  /** Few at a time, so that later ones can use the answers to earlier ones. */
  readonly #questions = new PQueue({ concurrency: MAX_QUESTIONS });

  constructor(options: PathProberOptions) {
    this.#options = options;
  }

  /** Probes the replica over this host's own path. */
  probe({ address }: ReplicaEntry): Promise<ProbeResult> {
    const { clock, connect, connectTimeoutMs } = this.#options;
    return probeAddress(address, {
      clock,
      connect,
      timeoutMs: connectTimeoutMs,
    });
  }

  /** Probes the replica through a peer. */
  async probeThroughPeer(entry: ReplicaEntry): Promise<ProbeResult> {
    const outcome = await this.#tryTunnel(entry);
    switch (outcome) {
      case "open":
        return "listens";
      case "refused":
        return "refused";
      default:
        return "silent";
    }
  }

  /**
   * Asks peers whether they reach the replica, unless they gave the same answer
   * about others of its hall a moment ago: where a whole hall is cut off, its
   * hosts would ask each other about each replica.
   */
  async askPeers(entry: ReplicaEntry): Promise<PeerVerdict> {
    const answer = await this.#questions.add(() => this.#verdictOf(entry));
    return answer ?? "unknown";
  }

  async #verdictOf(entry: ReplicaEntry): Promise<PeerVerdict> {
    const { clock } = this.#options;
    const known = this.#verdicts.latest(entry.hall, clock.now());
    if (known !== undefined) return known;
    const verdict = verdictFrom(await this.#tryTunnel(entry));
    this.#verdicts.note(entry.hall, verdict, clock.now());
    return verdict;
  }

  async #tryTunnel(entry: ReplicaEntry): Promise<TunnelOutcome["type"]> {
    const { dialer, tunnelTimeoutMs } = this.#options;
    const outcome = await dialer.open(entry, tunnelTimeoutMs);
    if (outcome.type === "open") outcome.socket.destroy();
    return outcome.type;
  }
}

function verdictFrom(type: TunnelOutcome["type"]): PeerVerdict {
  switch (type) {
    case "open":
      return "reached";
    case "unavailable":
      return "unknown";
    default:
      return "notReached";
  }
}
