/** Connections to replicas: those for requests and those for small calls. */
import type { Agent } from "node:http";
import type { Milliseconds } from "../../core/ids.ts";
import type { Clock } from "../clock.ts";
import type { SmallCall } from "../port.ts";
import { type Call, readWhole, startCall } from "./call.ts";
import type { JsonAnswer } from "./json_client.ts";
import { KeptAgent } from "./kept_agent.ts";

/** Longest answer to a small call. */
const SMALL_BODY_LIMIT = 1 << 20;
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
  readonly #agents = new Map<string, { work: Agent; small: Agent }>();

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
  }): Call {
    const agents = this.#agentsOf(source.incarnation, source.mostConnections);
    return startCall({
      ...source,
      agent: agents.work,
      clock: this.#clock,
      connectTimeoutMs: this.#connectTimeoutMs,
    });
  }

  /** Makes a small call; undefined when no whole answer comes in time. */
  async small(
    place: { readonly address: string; readonly incarnation: string },
    small: SmallCall,
    timeoutMs: Milliseconds,
  ): Promise<JsonAnswer | undefined> {
    const call = startCall({
      address: place.address,
      method: small.method,
      path: small.path,
      headers: small.body === undefined
        ? []
        : ["Content-Type", "application/json"],
      body: Buffer.from(small.body ?? ""),
      agent: this.#agentsOf(place.incarnation, SMALL_SOCKETS).small,
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
    return { status: outcome.answer.statusCode ?? 0, body };
  }

  /** Lets go of the idle connections to replicas that are gone. */
  forget(incarnation: string): void {
    const agents = this.#agents.get(incarnation);
    this.#agents.delete(incarnation);
    agents?.small.destroy();
    // Requests that still run there keep their connections until they end.
    const idle = agents?.work.freeSockets ?? {};
    for (const sockets of Object.values(idle)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const { work, small } of this.#agents.values()) {
      work.destroy();
      small.destroy();
    }
  }

  #agentsOf(incarnation: string, most: number): { work: Agent; small: Agent } {
    const known = this.#agents.get(incarnation);
    if (known) return known;
    const agents = {
      work: new KeptAgent(most),
      small: new KeptAgent(SMALL_SOCKETS),
    };
    this.#agents.set(incarnation, agents);
    return agents;
  }
}
