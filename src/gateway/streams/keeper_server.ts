/** Keeps the stream records of other hosts and answers their questions. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { readJson } from "../../util/read_json.ts";
import type { Milliseconds } from "../../util/units.ts";
import {
  decodeRecords,
  encodeKnown,
  encodeVersions,
  type KeeperRequest,
  KeeperRequestSchema,
} from "./keeper_messages.ts";
import type { StreamRecord } from "./model.ts";
import type { VersionHistory } from "./version_history.ts";
import type { VersionTable } from "./version_table.ts";

const MAX_BODY_BYTES = 1 << 20;

/**
 * Status of a host that stores records. Hosts without support for records
 * respond to any path with 200.
 */
export const KEPT_STATUS = 204;

/** A response to a peer. */
export type KeeperResponse = {
  readonly status: number;
  readonly body?: string | undefined;
};

/** Options of {@link KeeperServer}. */
export type KeeperServerOptions = {
  readonly table: VersionTable;
  readonly history: VersionHistory;
  /** Writes records to the store. */
  readonly archive: (records: readonly StreamRecord[]) => void;
  /** False: other hosts may list versions that this one doesn't. */
  readonly isListingFresh: () => boolean;
  readonly now: () => Milliseconds;
};

/** Handles the requests of peers. */
export class KeeperServer {
  readonly #options: KeeperServerOptions;

  constructor(options: KeeperServerOptions) {
    this.#options = options;
  }

  /** Handles a request of a peer. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("error", () => response.destroy());
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length <= MAX_BODY_BYTES) chunks.push(chunk);
    });
    request.on("end", () => {
      const { status, body } = length > MAX_BODY_BYTES
        ? { status: 413, body: undefined }
        : this.respond(Buffer.concat(chunks).toString("utf8"));
      // Saves the largest header of responses that are mostly empty.
      response.sendDate = false;
      response.writeHead(status);
      response.end(body);
    });
  }

  /** The response to the body of a request, whose records are stored. */
  respond(text: string): KeeperResponse {
    const request = readJson(KeeperRequestSchema, text);
    if (!request) return { status: 400 };
    if (request.type === "ask") {
      return { status: 200, body: this.#recordOf(request) };
    }
    const now = this.#options.now();
    const { table, archive } = this.#options;
    const records = decodeRecords(request, now);
    for (const record of records) table.set(record, now);
    if (request.isArchived === true) archive(records);
    return { status: KEPT_STATUS };
  }

  #recordOf(stream: Extract<KeeperRequest, { type: "ask" }>): string {
    const { table, history, isListingFresh } = this.#options;
    const now = this.#options.now();
    const { service } = stream;
    const record = table.get(stream, now);
    const versions = history.versionsOf(service, now);
    if (record) return JSON.stringify(encodeKnown(record));
    const isCovered = isListingFresh() && history.isCovered(service, now);
    const state = history.stateOf(service, now);
    const hasRunBefore = state.type === "mixed"
      ? state.before !== undefined
      : history.hasSeenWindow(service, now);
    const known = { versions, state, isCovered, hasRunBefore };
    return JSON.stringify(encodeVersions(known));
  }
}
