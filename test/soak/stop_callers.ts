/**
 * Callers that keep a host busy until its process has ended, also with bodies
 * that end seconds after their heads.
 */
import { Agent, request } from "node:http";
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import type { CallerHost } from "./callers.ts";
import { sleep } from "./sleep.ts";

/** A request to a host that is being stopped. */
export type StopCall = {
  readonly id: string;
  readonly host: string;
  /** When its last byte was sent; undefined: it was not sent as a whole. */
  readonly sentAtMs: number | undefined;
  readonly endedAtMs: number;
  /** 0 if no response headers arrived. */
  readonly status: number;
  /** The response arrived as a whole. */
  readonly isComplete: boolean;
};

/** Options of {@link startStopCallers}. */
export type StopCallerOptions = {
  readonly host: CallerHost;
  readonly random: RandomGenerator;
  isStopped(): boolean;
  onCall(call: StopCall): void;
};

const CALLERS = 8;
/** Every other caller sends the last bytes of its bodies late. */
const LATE_BODY_ONE_IN = 2;
const MIN_BODY_MS = 500;
const BODY_RANGE_MS = 3000;
const PAUSE_MS = 15;
const DEADLINE_MS = 5000;
const FIRST_PART = "body ";
const LAST_PART = "end";

let nextId = 0;

/** Starts the callers; resolves when the last one has ended. */
export async function startStopCallers(
  options: StopCallerOptions,
): Promise<void> {
  const { random } = options;
  await Promise.all(Array.from({ length: CALLERS }, async (_, at) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const hasLateBodies = at % LATE_BODY_ONE_IN === 0;
    while (!options.isStopped()) {
      const bodyMs = hasLateBodies
        ? MIN_BODY_MS + randomInt(random, BODY_RANGE_MS)
        : 0;
      options.onCall(await sendCall(options.host, { agent, bodyMs }));
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  }));
}

/** Sends one request; never rejects. */
function sendCall(
  { name: host, address }: CallerHost,
  { agent, bodyMs }: { readonly agent: Agent; readonly bodyMs: number },
): Promise<StopCall> {
  const id = `stop-${host}-${nextId++}`;
  const [ip, port] = address.split(":");
  return new Promise((resolve) => {
    let sentAtMs: number | undefined;
    let status = 0;
    let isComplete = false;
    const outgoing = request({
      host: ip,
      port,
      agent,
      method: "POST",
      path: "/unsafe/x",
      headers: {
        host: "example",
        "attempt-id": id,
        "deadline-remaining-ms": String(DEADLINE_MS + bodyMs),
        "content-length": String(FIRST_PART.length + LAST_PART.length),
      },
    });
    outgoing.setNoDelay(true);
    outgoing.write(FIRST_PART);
    const timer = setTimeout(() => {
      outgoing.end(LAST_PART);
      sentAtMs = performance.now();
    }, bodyMs);
    outgoing.on("error", () => undefined);
    outgoing.on("response", (response) => {
      status = response.statusCode ?? 0;
      response.on("error", () => undefined);
      response.on("end", () => isComplete = response.complete);
      response.resume();
    });
    outgoing.on("close", () => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      resolve({ id, host, sentAtMs, endedAtMs, status, isComplete });
    });
  });
}
