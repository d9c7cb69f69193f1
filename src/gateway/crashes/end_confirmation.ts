/**
 * Checks replicas whose responses ended without a confirmation by their framing.
 * The operating system closes the connections of a crashed process in order, so
 * such an end may be that of the process. Draining replicas are no exception: one
 * that has closed its address may have been about to end its responses, too.
 */
import { nextTick } from "node:process";
import type { Milliseconds } from "../../util/units.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { LoopStalls } from "../load/loop_stalls.ts";
import type { PeerProcess } from "../peers/peer_process.ts";
import type { ProcessReport } from "../peers/process_report.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import {
  type ReplicaFinding,
  ReplicaProbe,
  type ReplicaProbeOptions,
} from "./replica_probe.ts";

/**
 * How long a silent replica is probed again. One whose queue of new connections
 * is full, or whose packets are lost, may be silent for a second and run.
 */
const SILENCE_MS: Milliseconds = 1500;
/**
 * Starting a process takes longer. One that listens this soon behind an end had
 * been running before it.
 */
const MIN_RESTART_MS: Milliseconds = 250;

/** Options of {@link EndConfirmation}. */
export type EndConfirmationOptions = ReplicaProbeOptions & {
  readonly events: EventLog;
  /** Reads the id that the replica at an entry's address has. */
  readonly readId: (entry: ReplicaEntry) => Promise<string | undefined>;
  /** The stalls of this host. */
  readonly stalls: Pick<LoopStalls, "hasStalledSince">;
  /** Asks whether this process of a peer runs now; undefined if it doesn't. */
  readonly askPeer: (peer: PeerProcess) => Promise<ProcessReport | undefined>;
};

/** Options of {@link EndConfirmation.confirm}. */
export type ConfirmOptions = {
  /** The peer that the response came through. */
  readonly peer?: PeerProcess | undefined;
  /** When its headers were received; now by default. */
  readonly receivedAt?: Milliseconds;
  /**
   * Whether a silent replica is probed for a while; for requests that can't be
   * sent to another one.
   */
  readonly waits?: boolean;
};

/** A response that has ended. */
type End = {
  readonly at: Milliseconds;
  readonly receivedAt: Milliseconds;
  readonly waits: boolean;
};

/** Tells whether the processes run that a response came through. */
export class EndConfirmation {
  readonly #options: EndConfirmationOptions;
  readonly #probe: ReplicaProbe;
  /** Replicas whose confirmation is being handled, by incarnation. */
  readonly #confirmed = new Set<string>();

  constructor(options: EndConfirmationOptions) {
    this.#options = options;
    this.#probe = new ReplicaProbe(options);
  }

  /**
   * Whether the replica runs, so that a response of it has ended. One that can't
   * be reached confirms nothing. The peer that the response came through has to
   * run as well. Both have to be the same processes as before: one that was
   * started again would confirm the end of its predecessor.
   */
  async confirm(
    entry: ReplicaEntry,
    { peer, receivedAt, waits = false }: ConfirmOptions = {},
  ): Promise<boolean> {
    const { clock, events, askPeer } = this.#options;
    const at = clock.now();
    const end = { at, receivedAt: receivedAt ?? at, waits };
    const found = await this.#findReplica(entry, end);
    const isRunning = found === "asListed" || found === "listens";
    const report = isRunning && peer ? await askPeer(peer) : undefined;
    const isCarried = !peer || report !== undefined;
    const isSame = isRunning && isCarried &&
      (found === "asListed" || await this.#isSame(entry, end, report));
    if (isSame) {
      this.#noteConfirmed(entry);
      return true;
    }
    events.note("endUnconfirmed", {
      replica: entry.incarnation,
      address: entry.address,
      probe: found,
      // The peer is asked only if the replica listens.
      peer: peer?.address,
      peer_runs: isRunning && peer ? isCarried : undefined,
      late: isRunning && isCarried || undefined,
    });
    return false;
  }

  /**
   * Like {@link confirm}, but without another probe in a continuation of the
   * confirmation of the same end.
   */
  async confirmOnce(entry: ReplicaEntry): Promise<boolean> {
    return this.isConfirmed(entry) || await this.confirm(entry);
  }

  /** Whether this is a continuation of a confirmation. */
  isConfirmed({ incarnation }: ReplicaEntry): boolean {
    return this.#confirmed.has(incarnation);
  }

  async #findReplica(
    entry: ReplicaEntry,
    { at, waits }: End,
  ): Promise<ReplicaFinding> {
    const deadline = at + (waits ? SILENCE_MS : 0);
    let found = await this.#probe.find(entry);
    while (found === "silent" && this.#options.clock.now() < deadline) {
      found = await this.#probe.find(entry);
    }
    return found;
  }

  /**
   * Whether a process that listens, but reports no start, is the one that sent
   * the response. Another one may have been started where the end was read late.
   * Without a start, an entry's id belongs to one process only.
   */
  async #isSame(
    entry: ReplicaEntry,
    { at, receivedAt }: End,
    peer: ProcessReport | undefined,
  ): Promise<boolean> {
    const { clock, stalls, readId } = this.#options;
    const now = clock.now();
    const peerStalledAt = now - (peer?.stalledAgoMs ?? Infinity);
    const isLate = now - at > MIN_RESTART_MS || peerStalledAt >= receivedAt ||
      stalls.hasStalledSince(receivedAt);
    if (!isLate) return true;
    return entry.born === undefined && await readId(entry) === entry.id;
  }

  /**
   * A confirmation is valid until its continuations have run: the replica may
   * crash afterwards and cut other responses. Node.js runs the callback once no
   * promise is left to continue.
   */
  #noteConfirmed({ incarnation }: ReplicaEntry): void {
    this.#confirmed.add(incarnation);
    nextTick(() => this.#confirmed.delete(incarnation));
  }
}
