/**
 * Checks replicas whose responses ended without a confirmation by their framing.
 * The operating system closes the connections of a crashed process in order, so
 * such an end may be that of the process. Draining replicas are no exception: one
 * that has closed its address may have been about to end its responses, too.
 */
import { nextTick } from "node:process";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { PeerProcess } from "../peers/peer_process.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { ProbeResult } from "../upstreams/probe.ts";

/**
 * Delay of a probe. Responses of one replica that end meanwhile share it, and a
 * process that is ending has closed its listening socket by then.
 */
const PROBE_DELAY_MS: Milliseconds = 20;
/**
 * How long a silent replica is probed again. One whose queue of new connections
 * is full, or whose packets are lost, may be silent for a second and run.
 */
const SILENCE_MS: Milliseconds = 1500;

/** Options of {@link EndConfirmation}. */
export type EndConfirmationOptions = {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Checks whether the replica listens, over any path. */
  readonly probe: (entry: ReplicaEntry) => Promise<ProbeResult>;
  /** Whether this process of a peer runs now. */
  readonly isPeerRunning: (peer: PeerProcess) => Promise<boolean>;
};

/** Options of {@link EndConfirmation.confirm}. */
export type ConfirmOptions = {
  /** The peer that the response came through. */
  readonly peer?: PeerProcess | undefined;
  /**
   * Whether a silent replica is probed for a while; for requests that can't be
   * sent to another one.
   */
  readonly waits?: boolean;
};

/** Probes replicas, at most once per delay each. */
export class EndConfirmation {
  readonly #options: EndConfirmationOptions;
  /** Probes that have not started, by incarnation. */
  readonly #scheduled = new Map<string, Promise<ProbeResult>>();
  /** Replicas whose confirmation is being handled, by incarnation. */
  readonly #confirmed = new Set<string>();

  constructor(options: EndConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Whether the replica runs, so that a response of it has ended. One that can't
   * be reached confirms nothing. The peer that the response came through has to
   * run as well: the same process, since a later one at its address didn't carry
   * the response.
   */
  async confirm(
    entry: ReplicaEntry,
    { peer, waits = false }: ConfirmOptions = {},
  ): Promise<boolean> {
    const { clock, events, isPeerRunning } = this.#options;
    const deadline = clock.now() + (waits ? SILENCE_MS : 0);
    let probe = await this.#probe(entry);
    while (probe === "silent" && clock.now() < deadline) {
      probe = await this.#probe(entry);
    }
    const isRunning = probe === "listens";
    if (isRunning && (!peer || await isPeerRunning(peer))) {
      this.#noteConfirmed(entry);
      return true;
    }
    events.note("endUnconfirmed", {
      replica: entry.incarnation,
      address: entry.address,
      probe,
      // The peer is asked only if the replica listens.
      peer: peer?.address,
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

  /**
   * A confirmation is valid until its continuations have run: the replica may
   * crash afterwards and cut other responses. Node.js runs the callback once no
   * promise is left to continue.
   */
  #noteConfirmed({ incarnation }: ReplicaEntry): void {
    this.#confirmed.add(incarnation);
    nextTick(() => this.#confirmed.delete(incarnation));
  }

  #probe(entry: ReplicaEntry): Promise<ProbeResult> {
    const { incarnation } = entry;
    const probe = this.#scheduled.get(incarnation) ?? this.#schedule(entry);
    this.#scheduled.set(incarnation, probe);
    return probe;
  }

  #schedule(entry: ReplicaEntry): Promise<ProbeResult> {
    const { clock, probe } = this.#options;
    return new Promise((resolve) => {
      clock.after(PROBE_DELAY_MS, () => {
        this.#scheduled.delete(entry.incarnation);
        resolve(probe(entry));
      });
    });
  }
}
