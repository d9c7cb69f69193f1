/** Tells the hosts whose tunnels this host carries that it stops. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../clock.ts";
import type { Metrics } from "../observe/metrics.ts";
import { acceptLink, type Link } from "../peers/link.ts";
import type { CarrierMessage } from "./carrier_messages.ts";

/** Options of {@link StopNotices}. */
export type StopNoticesOptions = {
  readonly clock: Clock;
  readonly metrics: Pick<Metrics, "countLabelled">;
  readonly isStopping: () => boolean;
};

/** The links of hosts that use tunnels through this one. */
export class StopNotices {
  readonly #options: StopNoticesOptions;
  readonly #links = new Set<Link>();

  constructor(options: StopNoticesOptions) {
    this.#options = options;
  }

  /** Accepts a link from a host. */
  accept(incoming: IncomingMessage, response: ServerResponse): void {
    response.writeHead(200, { "Content-Type": "application/x-ndjson" });
    response.flushHeaders();
    const link: Link = acceptLink(incoming, response, {
      ...this.#options,
      isCloselyMonitored: true,
      events: {
        line: () => undefined,
        closed: () => void this.#links.delete(link),
      },
    });
    this.#links.add(link);
    this.#send(link);
  }

  /** Announces the stop of this host, which has begun. */
  announce(): void {
    for (const link of this.#links) this.#send(link);
  }

  #send(link: Link): void {
    const type = this.#options.isStopping() ? "stopping" : "serving";
    link.send({ type } satisfies CarrierMessage);
  }
}
