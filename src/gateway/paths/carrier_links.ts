/**
 * Links to the peers that carry this host's tunnels. A peer announces its stop
 * over them, so that no call begins over a tunnel that it is about to close.
 */
import type { HostId } from "../../util/ids.ts";
import { readJson } from "../../util/read_json.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Metrics } from "../observe/metrics.ts";
import { type Link, LinkPath, openLink } from "../peers/link.ts";
import { CarrierMessageSchema } from "./carrier_messages.ts";

/** A link is closed when no tunnel was opened for this time. */
const UNUSED_TIMEOUT_MS: Milliseconds = 10_000;
/** A peer of an earlier version closes each link, so few are opened. */
const REOPEN_DELAY_MS: Milliseconds = 1000;

/** What a peer has announced; undefined: nothing yet. */
type Announced = "serving" | "stopping" | undefined;

type CarrierLink = {
  readonly link: Link;
  announced: Announced;
  usedAt: Milliseconds;
  cancelTimeout: () => void;
};

/** Options of {@link CarrierLinks}. */
export type CarrierLinksOptions = {
  readonly clock: Clock;
  readonly self: { readonly id: HostId };
  readonly metrics: Pick<Metrics, "countLabelled">;
};

/** The links by address of the peer. */
export class CarrierLinks {
  readonly #options: CarrierLinksOptions;
  readonly #links = new Map<string, CarrierLink>();
  readonly #reopenAt = new Map<string, Milliseconds>();
  readonly #listeners: ((peer: string) => void)[] = [];
  #isClosed = false;

  constructor(options: CarrierLinksOptions) {
    this.#options = options;
  }

  /** Calls `listener` when it is no longer known that a peer goes on. */
  listen(listener: (peer: string) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Whether the peer is known not to stop. The announcement takes the way of the
   * tunnels' bytes, and the link closes when nothing arrives on it: one that is
   * lost or late doesn't leave the peer known as serving.
   */
  isServing(peer: string): boolean {
    return this.#links.get(peer)?.announced === "serving";
  }

  /** Whether the peer has announced its stop, and has not exited yet. */
  isStopping(peer: string): boolean {
    return this.#links.get(peer)?.announced === "stopping";
  }

  /** Records that a tunnel through the peer was opened. */
  noteUsed(peer: string): void {
    const now = this.#options.clock.now();
    const existing = this.#links.get(peer);
    if (existing) existing.usedAt = now;
    else if ((this.#reopenAt.get(peer) ?? -Infinity) <= now) this.#open(peer);
  }

  /** Closes all links. */
  close(): void {
    this.#isClosed = true;
    for (const { link } of this.#links.values()) link.close();
  }

  #open(peer: string): void {
    if (this.#isClosed) return;
    const { clock, self, metrics } = this.#options;
    const link = openLink({
      address: peer,
      path: LinkPath.tunnel,
      self: self.id,
      clock,
      metrics,
      isCloselyMonitored: true,
    }, {
      line: (text) => this.#receive(peer, text),
      closed: () => this.#noteClosed(peer),
    });
    const opened: CarrierLink = {
      link,
      announced: undefined,
      usedAt: clock.now(),
      cancelTimeout: () => undefined,
    };
    this.#links.set(peer, opened);
    this.#reopenAt.delete(peer);
    this.#closeUnused(opened, UNUSED_TIMEOUT_MS);
  }

  #receive(peer: string, text: string): void {
    const opened = this.#links.get(peer);
    const message = readJson(CarrierMessageSchema, text);
    if (!opened || !message) return;
    opened.announced = message.type;
    if (message.type === "stopping") this.#notify(peer);
  }

  #noteClosed(peer: string): void {
    this.#links.get(peer)?.cancelTimeout();
    this.#links.delete(peer);
    const now = this.#options.clock.now();
    for (const [other, at] of this.#reopenAt) {
      if (at <= now) this.#reopenAt.delete(other);
    }
    this.#reopenAt.set(peer, now + REOPEN_DELAY_MS);
    this.#notify(peer);
  }

  #notify(peer: string): void {
    for (const listener of this.#listeners) listener(peer);
  }

  #closeUnused(opened: CarrierLink, afterMs: Milliseconds): void {
    const { clock } = this.#options;
    opened.cancelTimeout = clock.after(afterMs, () => {
      const leftMs = opened.usedAt + UNUSED_TIMEOUT_MS - clock.now();
      if (leftMs <= 0) opened.link.close();
      else this.#closeUnused(opened, leftMs);
    });
  }
}
