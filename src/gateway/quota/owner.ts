/**
 * Serves quota requests of this host and of the hosts that open links to it.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostId } from "../../util/ids.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import type { Metrics } from "../observe/metrics.ts";
import {
  acceptLink,
  type Link,
  LINK_HOST_HEADER,
  type LinkEvents,
} from "../peers/link.ts";
import { QuotaLedger, type QuotaLedgerOptions } from "./ledger.ts";
import {
  type MemberMessage,
  MemberMessageSchema,
  type OwnerMessage,
  type QuotaBackup,
} from "./messages.ts";

/** Options of {@link QuotaOwner}. */
export type QuotaOwnerOptions = QuotaLedgerOptions & {
  readonly clock: Clock;
  /** Identifies this run of the process. */
  readonly run: string;
  /** Counts what passes on the links. */
  readonly metrics?: Pick<Metrics, "countLabelled">;
  /** Keeps a copy of what another owner's host acquired. */
  readonly keepBackup: (backup: QuotaBackup) => void;
};

/** Passes messages between the ledger and its members. */
export class QuotaOwner {
  readonly #clock: Clock;
  readonly #metrics: Pick<Metrics, "countLabelled"> | undefined;
  /** Identifies this run of the process. */
  readonly run: string;
  readonly #ledger: QuotaLedger;
  readonly #keepBackup: (backup: QuotaBackup) => void;
  /** The newest link of each host. */
  readonly #links = new Map<HostId, Link>();

  constructor(options: QuotaOwnerOptions) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.run = options.run;
    this.#keepBackup = options.keepBackup;
    this.#ledger = new QuotaLedger(options);
  }

  /** Number of accounts on record. */
  get size(): number {
    return this.#ledger.size;
  }

  /** Handles a host's message and returns the reply, if there is one. */
  handle(from: HostId, message: MemberMessage): OwnerMessage | undefined {
    const now = this.#clock.now();
    switch (message.type) {
      case "member":
        this.#ledger.setMember(from, message, now);
        return undefined;
      case "backup":
        this.#ledger.noteUsage(message.usage, now);
        this.#keepBackup(message);
        return undefined;
      case "take":
        return { id: message.id, ...this.#ledger.acquire(message, now) };
      case "give-back":
        this.#ledger.release(message, now);
        return undefined;
      case "ping":
        return undefined;
    }
  }

  /** Removes an unreachable host from all shards. */
  removeMember(host: HostId): void {
    this.#ledger.removeMember(host, this.#clock.now());
  }

  /** Accepts a link from a host. */
  accept(incoming: IncomingMessage, response: ServerResponse): void {
    const name = String(incoming.headers[LINK_HOST_HEADER] ?? "");
    response.writeHead(200, { "Content-Type": "application/x-ndjson" });
    response.flushHeaders();
    const clock = this.#clock;
    const metrics = this.#metrics;
    this.join(
      name,
      (events) =>
        acceptLink(incoming, response, {
          clock,
          metrics,
          isCloselyMonitored: true,
          events,
        }),
    );
  }

  /** Serves the host with this name over the link that `open` returns. */
  join(name: HostId, open: (events: LinkEvents) => Link): void {
    const link: Link = open({
      line: (text) => {
        const message = readJson(MemberMessageSchema, text);
        const reply = message && this.handle(name, message);
        if (reply) link.send(reply);
      },
      closed: () => {
        // The host may have opened a newer link in the meantime.
        if (this.#links.get(name) !== link) return;
        this.#links.delete(name);
        this.removeMember(name);
      },
    });
    this.#links.set(name, link);
    link.send({ type: "hello", run: this.run } satisfies OwnerMessage);
  }
}
