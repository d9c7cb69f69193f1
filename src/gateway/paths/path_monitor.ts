/**
 * Tracks which replicas this host reaches over its own network path. A replica
 * that does not respond may be down, slow or cut off from this host only. Its
 * path counts as lost only if this host can't connect to it and a peer can.
 */
import PQueue from "p-queue";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Connect } from "../upstreams/connect.ts";
import { probeAddress, type ProbeResult } from "../upstreams/probe.ts";
import { HallVerdicts, type PeerVerdict } from "./hall_verdicts.ts";
import type { TunnelOutcome } from "./tunnel_client.ts";
import type { TunnelDialer } from "./tunnel_dialer.ts";

/**
 * While other replicas respond to this host, a replica may be silent for this
 * long before its path is checked: it is likely to be at work.
 */
const BUSY_SILENCE_MS = 600;
/** Minimum time between two checks of a path that was found to be intact. */
const CHECK_INTERVAL_MS = 1000;
/** A failed path is tried again after this time, then at each interval. */
const FIRST_RETRY_MS = 250;
const RETRY_INTERVAL_MS = 1000;
/** Minimum time between two checks of all paths that are in use. */
const CHECK_ALL_INTERVAL_MS = 1000;
/** Maximum number of replicas about which peers are asked at the same time. */
const MAX_QUESTIONS = 4;
/** Maximum number of paths that are checked because another one was lost. */
const MAX_CHECKED_AT_ONCE = 24;
/** Number of other replicas that are tried after a refused connection. */
const MAX_CONFIRMATIONS = 2;
/** Maximum number of replicas of which state is stored. */
const MAX_REPLICAS = 3000;

/** How the loss of a path was noticed. */
export type PathLossCause =
  /** A new connection was not established. */
  | "notConnected"
  /** A replica did not respond over an established connection. */
  | "silent"
  /** The path to another replica was lost. */
  | "checked";

/** A path over which this host does not reach a replica. */
type FailedPath = {
  readonly entry: ReplicaEntry;
  readonly since: Milliseconds;
  /** A peer reaches the replica; otherwise the replica itself may be down. */
  readonly isReachedByPeer: boolean;
  retryAt: Milliseconds;
  isRetrying: boolean;
};

/** Options of {@link PathMonitor}. */
export type PathMonitorOptions = {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly connect: Connect;
  readonly dialer: TunnelDialer;
  /** All listed replicas. */
  readonly replicas: () => readonly ReplicaEntry[];
  /** Time within which a connection is established if the path is intact. */
  readonly connectTimeoutMs: Milliseconds;
  readonly tunnelTimeoutMs: Milliseconds;
};

/** Callbacks of a monitor. */
export type PathListener = {
  /** Only this host does not reach the replica. */
  lost(entry: ReplicaEntry): void;
  /** Neither this host nor a peer reaches the replica. */
  unreachable(entry: ReplicaEntry): void;
};

/** The paths of this host to all replicas. */
export class PathMonitor {
  readonly #options: PathMonitorOptions;
  readonly #failed = new Map<string, FailedPath>();
  /** When the path was last found intact, by incarnation. */
  readonly #intactAt = new Map<string, Milliseconds>();
  readonly #checking = new Set<string>();
  readonly #verdicts = new HallVerdicts();
  /** Few at a time, so that later ones can use the answers to earlier ones. */
  readonly #questions = new PQueue({ concurrency: MAX_QUESTIONS });
  readonly #listeners: PathListener[] = [];
  #lastReceivedAt = -Infinity;
  #checkedAllAt = -Infinity;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
  }

  /** Calls `listener` with each replica that is not reached. */
  listen(listener: PathListener): void {
    this.#listeners.push(listener);
  }

  /** The replicas that only this host does not reach. */
  get lost(): readonly ReplicaEntry[] {
    return [...this.#failed.values()].filter((path) => path.isReachedByPeer)
      .map(({ entry }) => entry);
  }

  /** Whether this host does not reach the replica, but a peer does. */
  isLost(incarnation: string): boolean {
    return this.#failed.get(incarnation)?.isReachedByPeer ?? false;
  }

  /** Whether this host does not reach some replica. */
  get hasFailed(): boolean {
    return this.#failed.size > 0;
  }

  /** Whether neither this host nor a peer reaches the replica. */
  isUnreachable(incarnation: string): boolean {
    return this.#failed.get(incarnation)?.isReachedByPeer === false;
  }

  /** Records that a replica responded over this host's own path. */
  noteReceived(now: Milliseconds): void {
    this.#lastReceivedAt = now;
  }

  /** Forgets a replica that is no longer listed. */
  removeReplica(incarnation: string): void {
    this.#failed.delete(incarnation);
    this.#intactAt.delete(incarnation);
  }

  /** Records that a peer reaches the replica and this host does not. */
  noteLost(entry: ReplicaEntry, cause: PathLossCause): void {
    const { events, dialer } = this.#options;
    const { incarnation, hall } = entry;
    if (!this.#noteFailed(entry, { isReachedByPeer: true })) return;
    const peer = dialer.peerOf(incarnation);
    events.note("pathLost", { replica: incarnation, hall, cause, peer });
    for (const listener of this.#listeners) listener.lost(entry);
  }

  /** Records that neither this host nor a peer reaches the replica. */
  noteUnreachable(entry: ReplicaEntry): void {
    const { events } = this.#options;
    const { incarnation, hall } = entry;
    if (!this.#noteFailed(entry, { isReachedByPeer: false })) return;
    events.note("replicaUnreachable", { replica: incarnation, hall });
    for (const listener of this.#listeners) listener.unreachable(entry);
  }

  /** Stores a failed path; false if it was known already. */
  #noteFailed(
    entry: ReplicaEntry,
    { isReachedByPeer }: Pick<FailedPath, "isReachedByPeer">,
  ): boolean {
    const { incarnation } = entry;
    const known = this.#failed.get(incarnation);
    if (known?.isReachedByPeer === isReachedByPeer) return false;
    const now = this.#options.clock.now();
    this.#failed.set(incarnation, {
      entry,
      since: known?.since ?? now,
      isReachedByPeer,
      retryAt: now + FIRST_RETRY_MS,
      isRetrying: known?.isRetrying ?? false,
    });
    evictOldest(this.#failed, MAX_REPLICAS);
    return true;
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
        const silentMs = clock.now() - sentAt;
        const othersRespond = this.#lastReceivedAt > sentAt;
        if (othersRespond && silentMs < BUSY_SILENCE_MS) {
          return schedule(BUSY_SILENCE_MS - silentMs);
        }
        void this.check(entry, "silent");
        schedule(CHECK_INTERVAL_MS);
      });
    };
    schedule(silenceMs);
    return () => cancel();
  }

  /** Checks a path, unless it was found to be intact a moment ago. */
  async check(entry: ReplicaEntry, cause: PathLossCause): Promise<void> {
    const { clock } = this.#options;
    const { incarnation } = entry;
    if (this.#failed.has(incarnation)) return;
    if (this.#checking.has(incarnation)) return;
    const intactAt = this.#intactAt.get(incarnation) ?? -Infinity;
    if (clock.now() - intactAt < CHECK_INTERVAL_MS) return;
    this.#checking.add(incarnation);
    const probed = await this.#probe(entry);
    if (probed === "listens") this.#noteIntact(incarnation);
    else this.#applyVerdict(entry, await this.#askPeers(entry), cause);
    this.#checking.delete(incarnation);
  }

  /**
   * Checks the paths to the last of the given replicas, at most once per
   * interval.
   */
  checkAll(entries: readonly ReplicaEntry[]): void {
    const now = this.#options.clock.now();
    if (now - this.#checkedAllAt < CHECK_ALL_INTERVAL_MS) return;
    this.#checkedAllAt = now;
    for (const entry of entries.slice(-MAX_CHECKED_AT_ONCE)) {
      void this.check(entry, "checked");
    }
  }

  /**
   * Whether a process listens at the replica's address, according to this host
   * or, if it does not reach it, to its peers.
   */
  async probe(entry: ReplicaEntry): Promise<ProbeResult> {
    const { dialer, tunnelTimeoutMs } = this.#options;
    const probed = await this.#probe(entry);
    if (probed === "listens" || !dialer.hasPeers) return probed;
    const outcome = await dialer.open(entry, tunnelTimeoutMs);
    switch (outcome.type) {
      case "open":
        outcome.socket.destroy();
        this.noteLost(entry, "notConnected");
        return "listens";
      case "refused":
        return "refused";
      default:
        return "silent";
    }
  }

  /**
   * Whether a refused connection to the replica says anything about it: a path
   * that is cut may refuse connections to all replicas. It does if this host
   * reaches another replica afterwards, or if there is none.
   */
  async confirmRefusal({ address }: ReplicaEntry): Promise<boolean> {
    const others = this.#options.replicas()
      .filter((entry) =>
        entry.address !== address && !this.#failed.has(entry.incarnation)
      )
      .slice(-MAX_CONFIRMATIONS);
    if (others.length === 0) return this.#failed.size === 0;
    const results = await Promise.all(
      others.map((entry) => this.#probe(entry)),
    );
    return results.includes("listens");
  }

  /**
   * Tries a failed path again if it is time to. Called when the replica could
   * be used, so that an unused one costs nothing.
   */
  retry(incarnation: string): void {
    const { clock } = this.#options;
    const path = this.#failed.get(incarnation);
    if (!path || path.isRetrying || clock.now() < path.retryAt) return;
    path.isRetrying = true;
    void this.#retry(path);
  }

  async #retry(path: FailedPath): Promise<void> {
    const { entry } = path;
    const probed = await this.#probe(entry);
    const isAsked = probed !== "listens" && !path.isReachedByPeer;
    const verdict = isAsked ? await this.#askPeers(entry) : "unknown";
    path.isRetrying = false;
    // No request is sent to an unreachable replica, so it is tried more often.
    path.retryAt = this.#options.clock.now() +
      (path.isReachedByPeer ? RETRY_INTERVAL_MS : FIRST_RETRY_MS);
    if (this.#failed.get(entry.incarnation) !== path) return;
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

  #noteHealed({ entry: { incarnation, hall }, since }: FailedPath): void {
    const { clock, events } = this.#options;
    const now = clock.now();
    this.#failed.delete(incarnation);
    this.#noteIntact(incarnation);
    const lostMs = Math.round(now - since);
    events.note("pathHealed", { replica: incarnation, hall, lost_ms: lostMs });
    // The paths to other replicas have probably healed, too.
    for (const other of this.#failed.values()) other.retryAt = now;
  }

  #noteIntact(incarnation: string): void {
    this.#intactAt.delete(incarnation);
    this.#intactAt.set(incarnation, this.#options.clock.now());
    evictOldest(this.#intactAt, MAX_REPLICAS);
  }

  #probe({ address }: ReplicaEntry): Promise<ProbeResult> {
    const { clock, connect, connectTimeoutMs } = this.#options;
    return probeAddress(address, {
      clock,
      connect,
      timeoutMs: connectTimeoutMs,
    });
  }

  /**
   * Asks peers whether they reach the replica, unless they gave the same answer
   * about others of its hall a moment ago: where a whole hall is cut off, its
   * hosts would ask each other about each replica.
   */
  async #askPeers(entry: ReplicaEntry): Promise<PeerVerdict> {
    const answer = await this.#questions.add(() => this.#verdictOf(entry));
    return answer ?? "unknown";
  }

  async #verdictOf(entry: ReplicaEntry): Promise<PeerVerdict> {
    const { dialer, tunnelTimeoutMs, clock } = this.#options;
    const known = this.#verdicts.latest(entry.hall, clock.now());
    if (known !== undefined) return known;
    const outcome = await dialer.open(entry, tunnelTimeoutMs);
    const verdict = verdictFrom(outcome.type);
    if (outcome.type === "open") outcome.socket.destroy();
    this.#verdicts.note(entry.hall, verdict, clock.now());
    return verdict;
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
