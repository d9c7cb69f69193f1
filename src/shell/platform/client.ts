/** HTTP client of the platform's table and host list. */
import PQueue from "p-queue";
import * as z from "zod";
import type { Event, HostList, Order, TableChange } from "../../core/mod.ts";
import { decodeListEntry } from "../../util/list_entry.ts";
import { callText } from "../upstreams/http.ts";

/** Orders that call the platform. */
export type PlatformOrder = Extract<Order, {
  type: "readHosts" | "readTable" | "writeTable";
}>;

/** Options of {@link PlatformClient}. */
export type PlatformOptions = {
  readonly address: string;
  readonly timeoutMs: number;
};

/** A row of the platform's table. */
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

/** Maximum number of concurrent calls, to limit the platform's load. */
const MAX_CALLS = 4;

export type WriteOutcome =
  | { readonly type: "written"; readonly revision: number }
  | { readonly type: "conflict"; readonly keys: readonly string[] };

/** Client of the platform; calls reject when it does not respond. */
export class PlatformClient {
  readonly #options: PlatformOptions;
  readonly #queue = new PQueue({ concurrency: MAX_CALLS });

  constructor(options: PlatformOptions) {
    this.#options = options;
  }

  /** Reads the rows under a prefix that changed after a revision. */
  async readRows(prefix: string, after: number) {
    const query = new URLSearchParams({ prefix, after: String(after) });
    const { text } = await this.#call("GET", `/table?${query}`);
    return RowsAnswer.parse(JSON.parse(text));
  }

  /** Applies all changes, or none when a condition fails. */
  async writeRows(changes: readonly TableChange[]): Promise<WriteOutcome> {
    const body = JSON.stringify({ changes });
    const { status, text } = await this.#call("POST", "/table", body);
    const response: unknown = JSON.parse(text);
    if (status === 409) {
      return {
        type: "conflict",
        keys: ConflictAnswer.parse(response).conflicts,
      };
    }
    const { revision } = WrittenAnswer.parse(response);
    return { type: "written", revision };
  }

  /** Reads the host list. */
  async readHosts(): Promise<HostList> {
    const { text } = await this.#call("GET", "/hosts");
    const { revision, entries } = HostsAnswer.parse(JSON.parse(text));
    return {
      revision,
      entries: entries.map(decodeListEntry),
    };
  }

  async #call(method: "GET" | "POST", path: string, body?: string) {
    const { address, timeoutMs } = this.#options;
    const response = await this.#queue.add(() =>
      callText({
        address,
        method,
        path,
        ...(body === undefined ? {} : { body }),
        connectTimeoutMs: timeoutMs,
        silenceTimeoutMs: timeoutMs,
      })
    );
    if (!response || (response.status !== 200 && response.status !== 409)) {
      throw new Error(
        `platform responded with status ${response?.status} to ${path}`,
      );
    }
    return response;
  }
}

/** Carries out an order and reports its outcome to the core. */
export async function carryOutPlatform(
  client: PlatformClient,
  order: PlatformOrder,
  push: (event: Event) => void,
): Promise<void> {
  try {
    push(await performOrder(client, order));
  } catch {
    if (order.type === "readHosts") return;
    push({ type: "tableLost", call: order.call });
  }
}

async function performOrder(
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
