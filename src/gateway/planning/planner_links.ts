/** Links to the hosts that plan services, or would plan them next. */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import {
  type Link,
  type LinkEvents,
  LinkPath,
  type LinkTarget,
} from "../peers/link.ts";
import type { HostEntry } from "../port.ts";
import type { HostMessage } from "./messages.ts";
import { PlannerCandidates } from "./planner_candidates.ts";

/** Delay before a link that closed is opened again. */
const LINK_RETRY_DELAY_MS: Milliseconds = 800;

/** Options of {@link PlannerLinks}. */
export type PlannerLinksOptions = {
  readonly context: Pick<GatewayContext, "clock" | "self">;
  /** All other hosts; the same array as long as none of them changes. */
  readonly hosts: () => readonly HostEntry[];
  /** Opens a link. */
  readonly open: (target: LinkTarget, events: LinkEvents) => Link;
  /** Handles a line of a host. */
  readonly onLine: (from: HostId, text: string) => void;
  /** Called when a link has closed that was open or being opened. */
  readonly onClosed: (
    host: HostId,
    link: { readonly wasReady: boolean },
  ) => void;
  /** Hosts with which requests are pending or assigned. */
  readonly inUse: () => Iterable<HostId>;
};

type PlannerLink = {
  readonly link: Link;
  /** The other side has responded. */
  isReady: boolean;
};

/** Opens links to the candidates of the services that are used. */
export class PlannerLinks {
  readonly #options: PlannerLinksOptions;
  readonly #links = new Map<HostId, PlannerLink>();
  readonly #candidates: PlannerCandidates;
  /** Services for which a planner was chosen. */
  readonly #services = new Set<string>();

  constructor(options: PlannerLinksOptions) {
    this.#options = options;
    this.#candidates = new PlannerCandidates(options.context.self);
  }

  /**
   * The first candidate of a service with an open link, or this host. Links to
   * the others are opened in the background.
   */
  choose(service: string): HostId {
    const { self } = this.#options.context;
    this.#services.add(service);
    const candidates = this.#candidatesOf(service);
    for (const host of candidates) {
      if (!this.#links.has(host.id)) this.#open(host);
    }
    const planner = candidates.find(({ id }) => this.#links.get(id)?.isReady);
    return planner?.id ?? self.id;
  }

  send(host: HostId, message: HostMessage): void {
    this.#links.get(host)?.link.send(message);
  }

  #candidatesOf(service: string): readonly HostEntry[] {
    const { context: { clock }, hosts } = this.#options;
    return this.#candidates.of(service, hosts(), clock.now());
  }

  #open({ id, address }: HostEntry): void {
    const { context: { clock, self }, open, onLine } = this.#options;
    const { id: name, run } = self;
    const target = { address, path: LinkPath.plan, self: name, run, clock };
    const link = open(target, {
      ready: () => this.#handleReady(id, link),
      line: (text) => onLine(id, text),
      closed: () => this.#handleClosed(id, link),
    });
    this.#links.set(id, { link, isReady: false });
  }

  #handleReady(host: HostId, link: Link): void {
    const plannerLink = this.#links.get(host);
    if (plannerLink?.link !== link) return;
    plannerLink.isReady = true;
    this.#candidates.noteReady(host);
    this.#closeUnused();
  }

  /** Closes the links to hosts that are no longer candidates of any service. */
  #closeUnused(): void {
    const used = new Set(this.#options.inUse());
    for (const service of this.#services) {
      for (const { id } of this.#candidatesOf(service)) used.add(id);
    }
    for (const [host, { link }] of this.#links) {
      if (used.has(host)) continue;
      this.#links.delete(host);
      link.close();
    }
  }

  #handleClosed(host: HostId, link: Link): void {
    const closed = this.#links.get(host);
    if (closed?.link !== link) return;
    const { context: { clock }, onClosed } = this.#options;
    this.#links.delete(host);
    this.#candidates.noteLost(host, clock.now() + LINK_RETRY_DELAY_MS);
    onClosed(host, { wasReady: closed.isReady });
  }
}
