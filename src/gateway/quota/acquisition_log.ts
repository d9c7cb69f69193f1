/**
 * Records what a host acquired recently, to report it to owners that lack it.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { QuotaRequest } from "./ledger.ts";
import type { QuotaRelease, QuotaUsage } from "./messages.ts";
import { shardOf } from "./shards.ts";

/** Units that this host has acquired. */
export type Acquisition = {
  readonly request: QuotaRequest;
  /** When the units may be used. */
  readonly at: Milliseconds;
  /** As in the grant. */
  readonly isProvisional?: boolean;
  /** Runs of the owners that granted it or received a report of it. */
  readonly knownTo: Set<string>;
};

/** The recent acquisitions of one host. */
export class AcquisitionLog {
  /** Oldest first. */
  #acquisitions: Acquisition[] = [];

  /** Adds an acquisition, and removes those before `oldest`. */
  add(acquisition: Acquisition, oldest: Milliseconds): void {
    while ((this.#acquisitions[0]?.at ?? oldest) < oldest) {
      this.#acquisitions.shift();
    }
    this.#acquisitions.push(acquisition);
  }

  /** Adds past acquisitions that no owner has on record. */
  addUnreported(request: QuotaRequest, times: readonly Milliseconds[]): void {
    const unreported = times.map((at) => ({
      request,
      at,
      knownTo: new Set<string>(),
    }));
    this.#insert(unreported);
  }

  /** Adds copies of what another owner's host acquired. */
  addBackup(
    usage: readonly QuotaUsage[],
    { runs, now }: {
      /** Runs of the owners that have it on record. */
      readonly runs: readonly string[];
      readonly now: Milliseconds;
    },
  ): void {
    const copies = usage.map(({ agoMs, isProvisional = false, ...used }) => ({
      request: { ...used, mostWaitMs: 0 },
      at: now - agoMs,
      ...(isProvisional ? { isProvisional } : {}),
      knownTo: new Set(runs),
    }));
    this.#insert(copies);
  }

  #insert(acquisitions: readonly Acquisition[]): void {
    const newest = this.#acquisitions.at(-1)?.at ?? -Infinity;
    const [first, ...others] = acquisitions;
    if (first && others.length === 0 && first.at >= newest) {
      this.#acquisitions.push(first);
      return;
    }
    this.#acquisitions = [...this.#acquisitions, ...acquisitions]
      .sort((a, b) => a.at - b.at);
  }

  /** Removes an acquisition that was not used; returns the message of that. */
  release(acquisition: Acquisition, now: Milliseconds): QuotaRelease {
    const index = this.#acquisitions.indexOf(acquisition);
    if (index >= 0) this.#acquisitions.splice(index, 1);
    const { request, at } = acquisition;
    const { customer, units } = request;
    const priority = priorityOf(request);
    return { type: "give-back", customer, units, agoMs: now - at, ...priority };
  }

  /** Whether anything was acquired from accounts of the shard since `oldest`. */
  hasAny(shard: number, oldest: Milliseconds): boolean {
    return this.#acquisitions.some(({ at, request }) =>
      at > oldest && shardOf(request.customer) === shard
    );
  }

  /**
   * Returns what is not yet reported to an owner's run, and marks it as
   * reported.
   */
  reportTo(
    owner: { readonly run: string; readonly shards: readonly number[] },
    span: { readonly oldest: Milliseconds; readonly now: Milliseconds },
  ): QuotaUsage[] {
    const { run, shards } = owner;
    this.#acquisitions = this.#acquisitions.filter((acquisition) =>
      acquisition.at > span.oldest
    );
    const unreported = this.#acquisitions
      .filter((acquisition) => !acquisition.knownTo.has(run))
      .filter(({ request }) => shards.includes(shardOf(request.customer)));
    for (const { knownTo } of unreported) knownTo.add(run);
    return unreported.map((acquisition) => usageOf(acquisition, span.now));
  }
}

/** The report of an acquisition. */
export function usageOf(
  { request, at, isProvisional = false }: Acquisition,
  now: Milliseconds,
): QuotaUsage {
  const { customer, units, rate, version } = request;
  return {
    ...{ customer, units, rate, version, agoMs: now - at },
    ...(isProvisional ? { isProvisional } : {}),
    ...priorityOf(request),
  };
}

function priorityOf(
  { priority }: QuotaRequest,
): Pick<QuotaRequest, "priority"> {
  return priority === undefined ? {} : { priority };
}
