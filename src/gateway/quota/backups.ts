/**
 * Copies what an owner's own host acquires to the host that would own the
 * account next. What other hosts acquired they report to a new owner
 * themselves; this would be lost with the owner.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import {
  type Acquisition,
  type AcquisitionLog,
  usageOf,
} from "./acquisition_log.ts";
import type { MemberMessage, QuotaRelease, QuotaUsage } from "./messages.ts";
import { shardOf } from "./shards.ts";

/** A host that keeps copies. */
export type Standby = {
  /** The run of its process; absent while it isn't connected. */
  readonly run: string | undefined;
  send(message: MemberMessage): void;
};

/** Options of {@link Backups}. */
export type BackupsOptions = {
  readonly clock: Clock;
  /** The owner in this process. */
  readonly localOwner: { readonly run: string };
  readonly acquisitions: AcquisitionLog;
  readonly retentionMs: () => Milliseconds;
  /** The next host in the order of a shard that this host owns. */
  readonly standbyOf: (shard: number) => Standby | undefined;
};

/** The copies of one host's acquisitions from its own accounts. */
export class Backups {
  readonly #options: BackupsOptions;

  constructor(options: BackupsOptions) {
    this.#options = options;
  }

  /** Copies what the standbys of these shards lack; call periodically. */
  sendAll(shards: readonly number[]): void {
    const { acquisitions, clock, retentionMs, standbyOf } = this.#options;
    const now = clock.now();
    const span = { oldest: now - retentionMs(), now };
    for (const shard of shards) {
      if (!acquisitions.hasAny(shard, span.oldest)) continue;
      const standby = standbyOf(shard);
      if (standby?.run === undefined) continue;
      const to = { run: standby.run, shards: [shard] };
      this.#send(standby, acquisitions.reportTo(to, span));
    }
  }

  /** Copies an acquisition from an account of this host. */
  send(acquired: Acquisition): void {
    const { clock, standbyOf } = this.#options;
    const standby = standbyOf(shardOf(acquired.request.customer));
    if (standby?.run === undefined) return;
    acquired.knownTo.add(standby.run);
    this.#send(standby, [usageOf(acquired, clock.now())]);
  }

  /** Removes the copy of an acquisition that was not used. */
  release({ knownTo }: Acquisition, release: QuotaRelease): void {
    const standby = this.#options.standbyOf(shardOf(release.customer));
    if (standby?.run === undefined || !knownTo.has(standby.run)) return;
    standby.send(release);
  }

  #send(standby: Standby, usage: readonly QuotaUsage[]): void {
    if (usage.length === 0) return;
    const { run } = this.#options.localOwner;
    standby.send({ type: "backup", run, usage });
  }
}
