/** Calls of one host to the keepers of stream records. */
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { HostEntry } from "../port.ts";
import { PeerConnections } from "../peers/peer_connections.ts";
import { withTimeout } from "../state/with_timeout.ts";
import type { JsonAnswer, JsonClient } from "../upstreams/json_client.ts";
import {
  type AskResponse,
  AskResponseSchema,
  encodeRecords,
  KEEPER_PATH,
  type KeeperRequest,
  type RecordBatch,
} from "./keeper_messages.ts";
import { KEPT_STATUS } from "./keeper_server.ts";
import type { StreamKey } from "./model.ts";

/** Timeout of a call. A caller waits for it when its stream is taken up. */
const CALL_TIMEOUT_MS = 250;
/**
 * Time for which other responses are awaited after one that knows the stream: a
 * keeper that missed a later record of the stream may respond first.
 */
const SETTLE_MS = 20;

/** A host's response. */
export type KeeperAnswer = {
  readonly host: HostEntry;
  readonly response: AskResponse;
};

/** Options of {@link KeeperClient}. */
export type KeeperClientOptions = {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Creates an HTTP client for a peer's address. */
  readonly createClient: (address: string) => JsonClient;
};

/** Calls keepers. */
export class KeeperClient {
  readonly #options: KeeperClientOptions;
  readonly #connections: PeerConnections;

  constructor(options: KeeperClientOptions) {
    this.#options = options;
    this.#connections = new PeerConnections(options.createClient);
  }

  /** Sends records of one origin to a keeper; false: it may not have them. */
  async send({ address }: HostEntry, batch: RecordBatch): Promise<boolean> {
    const now = this.#options.clock.now();
    const answer = await this.#call(address, encodeRecords(batch, now));
    return answer?.status === KEPT_STATUS;
  }

  /**
   * Asks hosts for a stream. Resolves when all have responded, or shortly after
   * the first one that knows the stream. A record that this host keeps itself
   * shortens nothing: it may be an earlier one than that of slower hosts.
   */
  ask(
    hosts: readonly HostEntry[],
    stream: StreamKey,
  ): Promise<readonly KeeperAnswer[]> {
    return new Promise((resolve) => {
      const answers: KeeperAnswer[] = [];
      let waiting = hosts.length;
      let cancel: (() => void) | undefined;
      const finish = () => {
        cancel?.();
        resolve([...answers]);
      };
      const settle = () => {
        cancel ??= this.#options.clock.after(SETTLE_MS, finish);
      };
      if (waiting === 0) return finish();
      for (const host of hosts) {
        void this.#askOne(host, stream).then((response) => {
          if (response) answers.push({ host, response });
          waiting -= 1;
          if (waiting === 0) return finish();
          if (response?.type === "known") settle();
        });
      }
    });
  }

  /** Closes the connections to all but these hosts. */
  retain(hosts: readonly HostEntry[]): void {
    this.#connections.retain(hosts.map((host) => host.address));
  }

  /** Closes all connections. */
  close(): void {
    this.#connections.close();
  }

  async #askOne(
    { address }: HostEntry,
    { service, id }: StreamKey,
  ): Promise<AskResponse | undefined> {
    const answer = await this.#call(address, { type: "ask", service, id });
    if (answer?.status !== 200) return undefined;
    return readJson(AskResponseSchema, answer.body);
  }

  #call(
    address: string,
    message: KeeperRequest,
  ): Promise<JsonAnswer | undefined> {
    const { clock, events } = this.#options;
    const call = {
      method: "POST",
      path: KEEPER_PATH,
      body: JSON.stringify(message),
    } as const;
    return withTimeout({
      clock,
      timeoutMs: CALL_TIMEOUT_MS,
      work: (signal) => this.#connections.call(address, { ...call, signal }),
      onFault: (reason) =>
        events.note("callFailed", { call: "streams", address, reason }),
    });
  }
}
