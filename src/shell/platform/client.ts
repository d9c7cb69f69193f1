/** The platform's side: its table and its host list over HTTP. */
import PQueue from "p-queue";
import * as z from "zod";
import type { Event, HostList, Order, TableChange } from "../../core/mod.ts";
import { decodeListEntry } from "../../util/list_entry.ts";
import { callText } from "../upstreams/http.ts";

/** Orders that concern the platform. */
export type PlatformOrder = Extract<Order, {
  type: "readHosts" | "readTable" | "writeTable";
}>;

/** Where the platform is. */
export type PlatformSource = {
  readonly address: string;
  readonly timeoutMs: number;
};

/** A row as the platform gives it. */
export const RowAnswer = z.looseObject({
  key: z.string(),
  revision: z.number(),
  value: z.string().nullable(),
});
const RowsAnswer = z.looseObject({
  revision: z.number(),
  rows: z.array(RowAnswer),
});
const WrittenAnswer = z.looseObject({ revision: z.number() });
const ConflictAnswer = z.looseObject({ conflicts: z.array(z.string()) });
const Entry = z.looseObject({
  id: z.string(),
  kind: z.string(),
  hall: z.string(),
  region: z.string(),
  address: z.string(),
  service: z.string().default(""),
  role: z.string().default(""),
  leaving: z.boolean().default(false),
  checks_orders: z.boolean().default(false),
  slots: z.number().default(0),
  prefill_tokens_per_second: z.number().default(0),
  cache_tokens: z.number().default(0),
});
const HostsAnswer = z.looseObject({
  revision: z.number(),
  entries: z.array(Entry),
});

/** Calls at once: the platform serves 400 writes a second in all. */
const CALLS = 4;

/** Outcome of a write. */
export type WriteOutcome =
  | { readonly type: "written"; readonly revision: number }
  | { readonly type: "conflict"; readonly keys: readonly string[] };

/** A client of the platform; each call rejects when there is no answer. */
export class PlatformClient {
  readonly #source: PlatformSource;
  readonly #queue = new PQueue({ concurrency: CALLS });

  constructor(source: PlatformSource) {
    this.#source = source;
  }

  /** Rows under a prefix that changed after a revision. */
  async readRows(prefix: string, after: number) {
    const query = new URLSearchParams({ prefix, after: String(after) });
    const { text } = await this.#call("GET", `/table?${query}`);
    return RowsAnswer.parse(JSON.parse(text));
  }

  /** Applies changes, all or none. */
  async writeRows(changes: readonly TableChange[]): Promise<WriteOutcome> {
    const body = JSON.stringify({ changes });
    const { status, text } = await this.#call("POST", "/table", body);
    const answer: unknown = JSON.parse(text);
    if (status === 409) {
      return { type: "conflict", keys: ConflictAnswer.parse(answer).conflicts };
    }
    const { revision } = WrittenAnswer.parse(answer);
    return { type: "written", revision };
  }

  /** The list of live and leaving hosts. */
  async readHosts(): Promise<HostList> {
    const { text } = await this.#call("GET", "/hosts");
    const { revision, entries } = HostsAnswer.parse(JSON.parse(text));
    return {
      revision,
      entries: entries.map(decodeListEntry),
    };
  }

  async #call(method: "GET" | "POST", path: string, body?: string) {
    const { address, timeoutMs } = this.#source;
    const answer = await this.#queue.add(() =>
      callText({
        address,
        method,
        path,
        ...(body === undefined ? {} : { body }),
        connectTimeoutMs: timeoutMs,
        silenceTimeoutMs: timeoutMs,
      })
    );
    if (!answer || (answer.status !== 200 && answer.status !== 409)) {
      throw new Error(`The platform answered ${answer?.status} to ${path}`);
    }
    return answer;
  }
}

/** Carries out an order and tells the core how it went. */
export async function carryOutPlatform(
  client: PlatformClient,
  order: PlatformOrder,
  push: (event: Event) => void,
): Promise<void> {
  try {
    push(await answerTo(client, order));
  } catch {
    if (order.type === "readHosts") return;
    push({ type: "tableLost", call: order.call });
  }
}

async function answerTo(
  client: PlatformClient,
  order: PlatformOrder,
): Promise<Event> {
  switch (order.type) {
    case "readHosts":
      return { type: "hostList", list: await client.readHosts() };
    case "readTable": {
      const { call, prefix, after } = order;
      const { rows, revision } = await client.readRows(prefix, after);
      return { type: "tableRows", call, rows, revision };
    }
    case "writeTable": {
      const { call } = order;
      const outcome = await client.writeRows(order.changes);
      if (outcome.type === "written") {
        return { type: "tableWritten", call, revision: outcome.revision };
      }
      return { type: "tableConflict", call, keys: outcome.keys };
    }
  }
}
