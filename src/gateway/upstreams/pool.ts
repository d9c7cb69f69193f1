/**
 * Pools of connections to replicas: for callers' requests, and for control
 * calls, which the gateway itself makes.
 */
import type { Agent } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { JsonCall } from "../port.ts";
import { type Call, readBody, startCall } from "./call.ts";
import { type Connect, tcpConnect } from "./connect.ts";
import type { JsonAnswer } from "./json_client.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";

const MAX_CONTROL_BODY_BYTES = 1 << 20;
const JSON_HEADERS = ["Content-Type", "application/json"];
/** Maximum number of connections for control calls to one replica. */
const MAX_CONTROL_CONNECTIONS = 3;

/**
 * HTTP agents by incarnation of a replica. Requests and control calls never
 * share a connection: the response to a control call names no request, so a
 * surplus response to a request could be mistaken for it.
 */
export class UpstreamPool {
  readonly #clock: Clock;
  readonly #connectTimeoutMs: Milliseconds;
  readonly #connect: Connect;
  readonly #requestAgents = new Map<string, Agent>();
  readonly #controlAgents = new Map<string, Agent>();

  constructor(
    clock: Clock,
    connectTimeoutMs: Milliseconds,
    connect: Connect = tcpConnect,
  ) {
    this.#clock = clock;
    this.#connectTimeoutMs = connectTimeoutMs;
    this.#connect = connect;
  }

  /** Sends a request unchanged to a replica. */
  send(options: {
    readonly address: string;
    readonly incarnation: string;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly maxConnections: number;
    /** As in {@link CallOptions}. */
    readonly maySend: () => boolean;
  }): Call {
    const { incarnation, maxConnections } = options;
    return startCall({
      ...options,
      agent: this.#agentOf(this.#requestAgents, incarnation, maxConnections),
      clock: this.#clock,
      connectTimeoutMs: this.#connectTimeoutMs,
    });
  }

  /**
   * Makes a control call; undefined if no complete response arrives within
   * `timeoutMs`.
   */
  async sendControlCall(
    entry: { readonly address: string; readonly incarnation: string },
    controlCall: JsonCall & { readonly headers?: readonly string[] },
    timeoutMs: Milliseconds,
  ): Promise<JsonAnswer | undefined> {
    const call = startCall({
      address: entry.address,
      method: controlCall.method,
      path: controlCall.path,
      headers: [
        ...(controlCall.body === undefined ? [] : JSON_HEADERS),
        ...(controlCall.headers ?? []),
      ],
      body: Buffer.from(controlCall.body ?? ""),
      agent: this.#agentOf(
        this.#controlAgents,
        entry.incarnation,
        MAX_CONTROL_CONNECTIONS,
      ),
      clock: this.#clock,
      connectTimeoutMs: Math.min(timeoutMs, this.#connectTimeoutMs),
    });
    const cancel = this.#clock.after(
      timeoutMs,
      () => call.abort("Call timed out"),
    );
    const outcome = await call.outcome;
    const body = outcome.type === "answer"
      ? await readBody(outcome.answer, MAX_CONTROL_BODY_BYTES)
      : undefined;
    cancel();
    if (outcome.type !== "answer" || body === undefined) return undefined;
    const { statusCode = 0, headers } = outcome.answer.message;
    return { status: statusCode, body, headers };
  }

  /**
   * Drops the agents of a removed replica and closes their idle connections.
   */
  removeReplica(incarnation: string): void {
    this.#controlAgents.get(incarnation)?.destroy();
    this.#controlAgents.delete(incarnation);
    // Requests in progress keep their connections until they end.
    const idleSockets = this.#requestAgents.get(incarnation)?.freeSockets ?? {};
    this.#requestAgents.delete(incarnation);
    for (const sockets of Object.values(idleSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#requestAgents.values()) agent.destroy();
    for (const agent of this.#controlAgents.values()) agent.destroy();
  }

  #agentOf(
    agents: Map<string, Agent>,
    incarnation: string,
    maxSockets: number,
  ): Agent {
    const existing = agents.get(incarnation);
    if (existing) return existing;
    const agent = new KeepAliveAgent(maxSockets, this.#connect);
    agents.set(incarnation, agent);
    return agent;
  }
}
