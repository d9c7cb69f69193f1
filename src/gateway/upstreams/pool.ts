/** Connections to replicas: those for requests and those for small calls. */
import type { Agent } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { SmallCall } from "../port.ts";
import { type Call, readWhole, startCall } from "./call.ts";
import type { JsonAnswer } from "./json_client.ts";
import { KeptAgent } from "./kept_agent.ts";

/** Longest answer to a small call. */
const SMALL_BODY_LIMIT = 1 << 20;
const JSON_HEADERS = ["Content-Type", "application/json"];
/** Connections for small calls to one replica. */
const SMALL_SOCKETS = 3;

/**
 * Agents by replica. A surplus answer to a request must never be taken for
 * the answer to a small call, which names no request; so the two kinds never
 * share a connection.
 */
export class UpstreamPool {
  readonly #clock: Clock;
  readonly #connectTimeoutMs: Milliseconds;
  readonly #work = new Map<string, Agent>();
  readonly #small = new Map<string, Agent>();

  constructor(clock: Clock, connectTimeoutMs: Milliseconds) {
    this.#clock = clock;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** Sends a request, as it is, to a replica. */
  send(source: {
    readonly address: string;
    readonly incarnation: string;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly mostConnections: number;
    /** As in {@link CallSource}. */
    readonly mayGo: () => boolean;
  }): Call {
    const { incarnation, mostConnections } = source;
    return startCall({
      ...source,
      agent: agentIn(this.#work, incarnation, mostConnections),
      clock: this.#clock,
      connectTimeoutMs: this.#connectTimeoutMs,
    });
  }

  /** Makes a small call; undefined when no whole answer comes in time. */
  async small(
    place: { readonly address: string; readonly incarnation: string },
    small: SmallCall & { readonly headers?: readonly string[] },
    timeoutMs: Milliseconds,
  ): Promise<JsonAnswer | undefined> {
    const call = startCall({
      address: place.address,
      method: small.method,
      path: small.path,
      headers: [
        ...(small.body === undefined ? [] : JSON_HEADERS),
        ...(small.headers ?? []),
      ],
      body: Buffer.from(small.body ?? ""),
      agent: agentIn(this.#small, place.incarnation, SMALL_SOCKETS),
      clock: this.#clock,
      connectTimeoutMs: Math.min(timeoutMs, this.#connectTimeoutMs),
    });
    const cancel = this.#clock.after(timeoutMs, () => call.abort("Too late"));
    const outcome = await call.outcome;
    const body = outcome.type === "answer"
      ? await readWhole(outcome.answer, SMALL_BODY_LIMIT)
      : undefined;
    cancel();
    if (outcome.type !== "answer" || body === undefined) return undefined;
    const { statusCode = 0, headers } = outcome.answer.message;
    return { status: statusCode, body, headers };
  }

  /** Lets go of the idle connections to replicas that are gone. */
  forget(incarnation: string): void {
    this.#small.get(incarnation)?.destroy();
    this.#small.delete(incarnation);
    // Requests that still run there keep their connections until they end.
    const idle = this.#work.get(incarnation)?.freeSockets ?? {};
    this.#work.delete(incarnation);
    for (const sockets of Object.values(idle)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#work.values()) agent.destroy();
    for (const agent of this.#small.values()) agent.destroy();
  }
}

function agentIn(
  agents: Map<string, Agent>,
  incarnation: string,
  mostSockets: number,
): Agent {
  const known = agents.get(incarnation);
  if (known) return known;
  const agent = new KeptAgent(mostSockets);
  agents.set(incarnation, agent);
  return agent;
}
