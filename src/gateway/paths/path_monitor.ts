/**
 * Tracks which replicas this host reaches over its own network path. A replica
 * that does not respond may be down, slow or cut off from this host only. Its
 * path counts as lost only if this host can't connect to it and a peer can.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { ProbeResult } from "../upstreams/probe.ts";
import type { PeerVerdict } from "./hall_verdicts.ts";
import { PathProber, type PathProberOptions } from "./path_prober.ts";
import { type FailedPath, PathTable } from "./path_table.ts";
import type { TunnelDialer } from "./tunnel_dialer.ts";

/** How the loss of a path was noticed. */
export type PathLossCause =
  /** A new connection was not established. */
  | "notConnected"
  /** A replica did not respond over an established connection. */
  | "silent"
  /** The path to another replica was lost. */
  | "checked";

/** Options of {@link PathMonitor}. */
export type PathMonitorOptions = PathProberOptions & {
  readonly events: EventLog;
  readonly dialer: TunnelDialer;
  /** All listed replicas. */
  readonly replicas: () => readonly ReplicaEntry[];
  readonly isListed: (incarnation: string) => boolean;
};

/** Callbacks of a monitor. */
export type PathListener = {
  /** Only this host does not reach the replica. */
  lost(entry: ReplicaEntry): void;
  /** Neither this host nor a peer reaches the replica. */
  unreachable(entry: ReplicaEntry): void;
};

/** Checks the paths of this host to all replicas. */
export class PathMonitor {
  readonly #options: PathMonitorOptions;
  readonly #table = new PathTable();
  readonly #prober: PathProber;
  readonly #listeners: PathListener[] = [];

  constructor(options: PathMonitorOptions) {
    this.#options = options;
    this.#prober = new PathProber(options);
  }

  /** Calls `listener` with each replica that is not reached. */
  listen(listener: PathListener): void {
    this.#listeners.push(listener);
  }

  /** The replicas that only this host does not reach. */
  get lost(): readonly ReplicaEntry[] {
    return this.#table.lost;
  }

  /** Whether this host does not reach the replica, but a peer does. */
  isLost(incarnation: string): boolean {
    return this.#table.isLost(incarnation);
  }

  /** Whether this host does not reach some replica. */
  get hasFailed(): boolean {
    return this.#table.hasFailed;
  }

  /** Whether neither this host nor a peer reaches the replica. */
  isUnreachable(incarnation: string): boolean {
    return this.#table.isUnreachable(incarnation);
  }

  /** Records that a replica responded over this host's own path. */
  noteReceived(now: Milliseconds): void {
    this.#table.noteReceived(now);
  }

  /** Forgets a replica that is no longer listed. */
  removeReplica(incarnation: string): void {
    this.#table.removeReplica(incarnation);
  }

  /**
   * Whether the replica is listed. Paths to others aren't recorded, since
   * nothing would try them again; calls that still run there can be aborted.
   */
  isListed({ incarnation }: ReplicaEntry): boolean {
    return this.#options.isListed(incarnation);
  }

  /** Records that a peer reaches the replica and this host does not. */
  noteLost(entry: ReplicaEntry, cause: PathLossCause): void {
    const { clock, events, dialer } = this.#options;
    const { incarnation, hall } = entry;
    if (this.isListed(entry)) {
      const failure = { isReachedByPeer: true, now: clock.now() };
      if (!this.#table.noteFailed(entry, failure)) return;
      const peer = dialer.peerOf(incarnation);
      events.note("pathLost", { replica: incarnation, hall, cause, peer });
    }
    for (const listener of this.#listeners) listener.lost(entry);
    this.#retryUnreachable();
  }

  /** Records that neither this host nor a peer reaches the replica. */
  noteUnreachable(entry: ReplicaEntry): void {
    const { clock, events } = this.#options;
    const { incarnation, hall } = entry;
    if (this.isListed(entry)) {
      const failure = { isReachedByPeer: false, now: clock.now() };
      if (!this.#table.noteFailed(entry, failure)) return;
      events.note("replicaUnreachable", { replica: incarnation, hall });
    }
    for (const listener of this.#listeners) listener.unreachable(entry);
  }

  /**
   * Checks the path of a call without a response, from `silenceMs` after
   * `sentAt` on, until the returned function is called.
   */
  watch(
    entry: ReplicaEntry,
    { sentAt, silenceMs }: {
      readonly sentAt: Milliseconds;
      readonly silenceMs: Milliseconds;
    },
  ): () => void {
    const { clock, dialer } = this.#options;
    if (!dialer.hasPeers) return () => undefined;
    let cancel = () => {};
    const schedule = (delayMs: Milliseconds) => {
      cancel = clock.after(delayMs, () => {
        const { isDue, nextMs } = this.#table.checkSilence(sentAt, clock.now());
        if (isDue) void this.check(entry, "silent");
        schedule(nextMs);
      });
    };
    schedule(silenceMs);
    return () => cancel();
  }

  /** Checks a path, unless it was found to be intact a moment ago. */
  async check(entry: ReplicaEntry, cause: PathLossCause): Promise<void> {
    const { clock } = this.#options;
    const { incarnation } = entry;
    if (!this.#table.startCheck(incarnation, clock.now())) return;
    const probed = await this.#prober.probe(entry);
    if (probed === "listens") this.#table.noteIntact(incarnation, clock.now());
    else this.#applyVerdict(entry, await this.#prober.askPeers(entry), cause);
    this.#table.endCheck(incarnation);
  }

  /**
   * Checks the paths to the last of the given replicas, at most once per
   * interval.
   */
  checkAll(entries: readonly ReplicaEntry[]): void {
    const now = this.#options.clock.now();
    for (const entry of this.#table.chooseChecked(entries, now)) {
      void this.check(entry, "checked");
    }
  }

  /**
   * Whether a process listens at the replica's address, according to this host
   * or, if it does not reach it, to its peers.
   */
  async probe(entry: ReplicaEntry): Promise<ProbeResult> {
    const probed = await this.#prober.probe(entry);
    if (probed === "listens" || !this.#options.dialer.hasPeers) return probed;
    const probedByPeer = await this.#prober.probeThroughPeer(entry);
    if (probedByPeer === "listens") this.noteLost(entry, "notConnected");
    return probedByPeer;
  }

  /**
   * Whether a refused connection to the replica says anything about it: a path
   * that is cut may refuse connections to all replicas. It does if this host
   * reaches another replica afterwards, or if there is none.
   */
  async confirmRefusal(entry: ReplicaEntry): Promise<boolean> {
    const replicas = this.#options.replicas();
    const others = this.#table.chooseConfirming(replicas, entry);
    if (others.length === 0) return !this.#table.hasFailed;
    const results = await Promise.all(
      others.map((other) => this.#prober.probe(other)),
    );
    return results.includes("listens");
  }

  /**
   * Tries a failed path again if it is time to. Called when the replica could
   * be used, so that an unused one costs nothing.
   */
  retry(incarnation: string): void {
    const { clock } = this.#options;
    const path = this.#table.startRetry(incarnation, clock.now());
    if (path) void this.#retry(path);
  }

  /**
   * Tries all unreachable replicas again, used or not, since another replica
   * was reached: the verdicts of the same peers may be out of date, and would
   * reject the next requests.
   */
  #retryUnreachable(): void {
    for (const path of this.#table.startUnreachableRetries()) {
      void this.#retry(path);
    }
  }

  async #retry(path: FailedPath): Promise<void> {
    const { clock } = this.#options;
    const { entry } = path;
    const probed = await this.#prober.probe(entry);
    const isAsked = probed !== "listens" && !path.isReachedByPeer;
    const verdict = isAsked ? await this.#prober.askPeers(entry) : "unknown";
    if (!this.#table.endRetry(path, clock.now())) return;
    if (probed === "listens") this.#noteHealed(path);
    else this.#applyVerdict(entry, verdict, "checked");
  }

  #applyVerdict(
    entry: ReplicaEntry,
    verdict: PeerVerdict,
    cause: PathLossCause,
  ): void {
    if (verdict === "reached") this.noteLost(entry, cause);
    if (verdict === "notReached") this.noteUnreachable(entry);
  }

  #noteHealed(path: FailedPath): void {
    const { clock, events } = this.#options;
    const { entry: { incarnation, hall }, since } = path;
    const now = clock.now();
    this.#table.noteHealed(path, now);
    const lostMs = Math.round(now - since);
    events.note("pathHealed", { replica: incarnation, hall, lost_ms: lostMs });
    this.#retryUnreachable();
  }
}
