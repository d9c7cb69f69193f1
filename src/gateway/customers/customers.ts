/**
 * Creates the admission and quota components of a gateway from its settings.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewaySettings } from "../../settings/gateway.ts";
import type { GatewayContext } from "../context.ts";
import { LinkPath, openLink } from "../peers/link.ts";
import type { HostDirectory } from "../peers/directory.ts";
import type { AdmissionOptions } from "./admission.ts";
import { type QuotaBounds, quotaRule } from "../quota/bounds.ts";
import { QuotaMember } from "../quota/member.ts";
import { QuotaOwner } from "../quota/owner.ts";
import { QuotaHolds } from "./quota_holds.ts";

/** Options of {@link Customers}. */
export type CustomersOptions = {
  readonly context: GatewayContext;
  readonly directory: HostDirectory;
  readonly settings: GatewaySettings["customers"];
  /**
   * Time since the store is known to have had no newer configuration; Infinity
   * if this is not known.
   */
  configAgeMs(now: Milliseconds): Milliseconds;
};

/** Admission by key and the quotas of customers at one gateway. */
export class Customers {
  readonly admission: AdmissionOptions;
  readonly owner: QuotaOwner;
  readonly quotas: QuotaMember;
  readonly #context: GatewayContext;
  readonly #holds: QuotaHolds;
  #settings: GatewaySettings["customers"];

  constructor(options: CustomersOptions) {
    const { context, directory, settings, configAgeMs } = options;
    this.#context = context;
    this.#settings = settings;
    this.#holds = new QuotaHolds(context);
    this.admission = {
      routes: context.routes,
      configAgeMs,
      maxConfigAgeMs: () => this.#settings.key_max_age ?? Infinity,
    };
    this.owner = new QuotaOwner({
      clock: context.clock,
      metrics: context.metrics,
      run: context.self.run,
      keepBackup: (backup) => this.quotas.keepBackup(backup),
      allowance: quotaRule(() => this.#bounds()),
      retentionMs: () => this.#settings.quota_window,
      knownHosts: () => directory.count,
      order: () => ({
        priorities: context.tuning.scheduling.quotaPriorities,
        largeRequests: context.tuning.scheduling.quotaLargeRequests,
      }),
      noteHold: (hold) => this.#holds.note(hold, context.clock.now()),
    });
    this.quotas = new QuotaMember({
      self: context.self,
      clock: context.clock,
      localOwner: this.owner,
      hosts: () => directory.entries(),
      retentionMs: () => this.#settings.quota_window,
      path: LinkPath.quota,
      noteLost: (owner) => context.events.note("quotaOwnerLost", { owner }),
      openLink: (target, events) =>
        openLink({ ...target, metrics: context.metrics }, events),
    });
  }

  /** Applies changed settings. */
  applySettings(settings: GatewaySettings["customers"]): void {
    this.#settings = settings;
  }

  /**
   * Opens the links to quota owners before the first request needs them, and
   * reports changes; call periodically.
   */
  maintain(): void {
    this.#holds.expire(this.#context.clock.now());
    if (this.#context.routes.customers) this.quotas.refresh();
  }

  #bounds(): QuotaBounds {
    const { quota_window, quota_overshoot, quota_tolerance } = this.#settings;
    return {
      windowMs: quota_window,
      overshoot: quota_overshoot,
      tolerance: quota_tolerance,
    };
  }
}
