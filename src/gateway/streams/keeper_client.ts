/** Calls of one host to the keepers of stream records. */
import { readJson } from "../../util/read_json.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { HostEntry } from "../port.ts";
import { PeerConnections } from "../peers/peer_connections.ts";
import { afterRunning } from "../running_timer.ts";
import { withTimeout } from "../state/with_timeout.ts";
import { ResponseError, ResponseFault } from "../upstreams/json_body.ts";
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

/**
 * Timeout of a call, unless another one is given. A caller waits for it when its
 * stream is taken up.
 */
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

/** What hosts have responded to a question. */
export type KeeperPoll = {
  readonly answers: readonly KeeperAnswer[];
  /** Hosts that can't be connected to, as one whose process has ended. */
  readonly ended: readonly HostEntry[];
};

/** What became of a question to one host. */
type AskOutcome =
  | AskResponse
  | { readonly type: "ended" }
  /** It hasn't responded in time, or not to this question. */
  | { readonly type: "silent" };

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
    timeoutMs: Milliseconds = CALL_TIMEOUT_MS,
  ): Promise<KeeperPoll> {
    return new Promise((resolve) => {
      const answers: KeeperAnswer[] = [];
      const ended: HostEntry[] = [];
      let waiting = hosts.length;
      let cancel: (() => void) | undefined;
      const finish = () => {
        cancel?.();
        resolve({ answers: [...answers], ended: [...ended] });
      };
      const settle = () => {
        cancel ??= afterRunning(this.#options.clock, SETTLE_MS, finish);
      };
      if (waiting === 0) return finish();
      for (const host of hosts) {
        void this.#askOne(host, stream, timeoutMs).then((outcome) => {
          waiting -= 1;
          if (outcome.type === "ended") ended.push(host);
          else if (outcome.type !== "silent") {
            answers.push({ host, response: outcome });
          }
          if (waiting === 0) return finish();
          if (outcome.type === "known") settle();
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

  /**
   * Asks again if the connection breaks: a kept one may have been reset though
   * the host runs.
   */
  async #askOne(
    host: HostEntry,
    stream: StreamKey,
    timeoutMs: Milliseconds,
  ): Promise<AskOutcome> {
    const ask = () => this.#askOnce(host, stream, timeoutMs);
    const outcome = await ask();
    return outcome.type === "ended" ? ask() : outcome;
  }

  async #askOnce(
    { address }: HostEntry,
    { service, id }: StreamKey,
    timeoutMs: Milliseconds,
  ): Promise<AskOutcome> {
    let isConnected = true;
    const answer = await this.#call(
      address,
      { type: "ask", service, id },
      { timeoutMs, onBroken: () => isConnected = false },
    );
    if (!isConnected) return { type: "ended" };
    if (answer?.status !== 200) return { type: "silent" };
    return readJson(AskResponseSchema, answer.body) ?? { type: "silent" };
  }

  #call(
    address: string,
    message: KeeperRequest,
    { timeoutMs = CALL_TIMEOUT_MS, onBroken = () => {} }: {
      readonly timeoutMs?: Milliseconds;
      /** The connection can't be opened, or has ended. */
      readonly onBroken?: () => void;
    } = {},
  ): Promise<JsonAnswer | undefined> {
    const { clock, events } = this.#options;
    const call = {
      method: "POST",
      path: KEEPER_PATH,
      body: JSON.stringify(message),
    } as const;
    let isEndedHere = false;
    const work = async (signal: AbortSignal) => {
      try {
        return await this.#connections.call(address, { ...call, signal });
      } catch (error) {
        isEndedHere = error instanceof ResponseError &&
          error.fault !== ResponseFault.cutOff;
        throw error;
      }
    };
    return withTimeout({
      clock,
      timeoutMs,
      countsRunningTime: true,
      work,
      onFault: (reason, isTimeout) => {
        events.note("callFailed", { call: "streams", address, reason });
        if (!isTimeout && !isEndedHere) onBroken();
      },
    });
  }
}
