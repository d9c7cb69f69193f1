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
    this.#acquisitions = [...this.#acquisitions, ...unreported].sort((a, b) =>
      a.at - b.at
    );
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
    return unreported.map(({ request, at, isProvisional = false }) => {
      const { customer, units, rate, version } = request;
      const agoMs = span.now - at;
      return {
        ...{ customer, units, rate, version, agoMs },
        ...(isProvisional ? { isProvisional } : {}),
        ...priorityOf(request),
      };
    });
  }
}

function priorityOf(
  { priority }: QuotaRequest,
): Pick<QuotaRequest, "priority"> {
  return priority === undefined ? {} : { priority };
}
