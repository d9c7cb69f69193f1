/** This host as an owner of quotas, for itself and the hosts that link to it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostId } from "../../util/ids.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import {
  acceptLink,
  type Link,
  LINK_HOST_HEADER,
  type LinkEvents,
} from "../peers/link.ts";
import { QuotaLedger, type QuotaLedgerSource } from "./ledger.ts";
import {
  type MemberMessage,
  MemberMessageSchema,
  type OwnerMessage,
} from "./messages.ts";

/** What an owner is made from. */
export type QuotaOwnerSource = QuotaLedgerSource & {
  readonly clock: Clock;
  /** Names this run of the process. */
  readonly run: string;
};

/** Carries messages between the ledger and its members. */
export class QuotaOwner {
  readonly #clock: Clock;
  /** Names this run of the process. */
  readonly run: string;
  readonly #ledger: QuotaLedger;
  /** The newest link of each host. */
  readonly #links = new Map<HostId, Link>();

  constructor(source: QuotaOwnerSource) {
    this.#clock = source.clock;
    this.run = source.run;
    this.#ledger = new QuotaLedger(source);
  }

  /** Customers of whom something is kept. */
  get size(): number {
    return this.#ledger.size;
  }

  /** Takes a host's message; gives the answer, where there is one. */
  take(from: HostId, message: MemberMessage): OwnerMessage | undefined {
    const now = this.#clock.now();
    switch (message.type) {
      case "member":
        this.#ledger.setMember(from, message, now);
        return undefined;
      case "take":
        return { id: message.id, ...this.#ledger.take(message, now) };
      case "give-back":
        this.#ledger.giveBack(message, now);
        return undefined;
      case "ping":
        return undefined;
    }
  }

  /** A host is out of touch: it takes nothing from this owner any more. */
  lose(host: HostId): void {
    this.#ledger.lose(host, this.#clock.now());
  }

  /** Serves a link that a host has opened. */
  accept(incoming: IncomingMessage, answer: ServerResponse): void {
    const name = String(incoming.headers[LINK_HOST_HEADER] ?? "");
    answer.writeHead(200, { "Content-Type": "application/x-ndjson" });
    answer.flushHeaders();
    const clock = this.#clock;
    this.join(
      name,
      (events) =>
        acceptLink(incoming, answer, { clock, isWatchful: true, events }),
    );
  }

  /** Serves the host of that name over the link that `open` makes. */
  join(name: HostId, open: (events: LinkEvents) => Link): void {
    const link: Link = open({
      line: (text) => {
        const message = readJson(MemberMessageSchema, text);
        const reply = message && this.take(name, message);
        if (reply) link.send(reply);
      },
      closed: () => {
        // A newer link of the same host may have taken its place.
        if (this.#links.get(name) !== link) return;
        this.#links.delete(name);
        this.lose(name);
      },
    });
    this.#links.set(name, link);
    link.send({ type: "hello", run: this.run } satisfies OwnerMessage);
  }
}
