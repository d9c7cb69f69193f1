/** What a host took of late, to tell owners that don't know of it. */
import type { Milliseconds } from "../../util/units.ts";
import type { QuotaTake } from "./ledger.ts";
import type { QuotaUsage } from "./messages.ts";
import { shardOf } from "./shards.ts";

/** Units that were taken. */
export type Use = {
  readonly take: QuotaTake;
  readonly at: Milliseconds;
  /** Runs of owners that know of it: who gave it, and who was told. */
  readonly knownTo: Set<string>;
};

/** The uses of one host. */
export class Uses {
  /** The oldest first. */
  #uses: Use[] = [];

  /** Enters a use that the owner with this run gave; forgets old ones. */
  add(use: Use, oldest: Milliseconds): void {
    while ((this.#uses[0]?.at ?? oldest) < oldest) this.#uses.shift();
    this.#uses.push(use);
  }

  /** Enters uses of the past that no owner knows of. */
  addUnknown(take: QuotaTake, times: readonly Milliseconds[]): void {
    const uses = times.map((at) => ({ take, at, knownTo: new Set<string>() }));
    this.#uses = [...this.#uses, ...uses].sort((a, b) => a.at - b.at);
  }

  /** The units were not used. */
  remove(use: Use): void {
    const at = this.#uses.indexOf(use);
    if (at >= 0) this.#uses.splice(at, 1);
  }

  /** What the run of an owner doesn't know of these shards; now it does. */
  newsFor(
    owner: { readonly run: string; readonly shards: readonly number[] },
    span: { readonly oldest: Milliseconds; readonly now: Milliseconds },
  ): QuotaUsage[] {
    const { run, shards } = owner;
    this.#uses = this.#uses.filter((one) => one.at > span.oldest);
    const news = this.#uses
      .filter((one) => !one.knownTo.has(run))
      .filter(({ take }) => shards.includes(shardOf(take.customer)));
    for (const { knownTo } of news) knownTo.add(run);
    return news.map(({ take, at }) => {
      const { customer, units, rate, version } = take;
      return { customer, units, rate, version, agoMs: span.now - at };
    });
  }
}
