/** Callers of hosts that restart, some of which stay with their host. */
import { Agent } from "node:http";
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { CallKind, callOnce, type CallResult } from "./call.ts";
import { mixedGenerator } from "./draw_faults.ts";
import { callerHosts, type FleetHost, isInRotation } from "./fleet.ts";
import { findResumption } from "./resumptions.ts";
import { sleep } from "./sleep.ts";

/** A request and its caller's deadline. */
export type SeriesCall = CallResult & { readonly timeoutMs: number };

/** Options of {@link startSeriesCallers}. */
export type SeriesCallerOptions = {
  readonly hosts: readonly FleetHost[];
  readonly seed: number;
  isStopped(): boolean;
  onCall(call: SeriesCall): void;
};

const CALLERS_PER_HOST = 16;
/** One caller in this many calls its host whether that is ready or not. */
const LOYAL_ONE_IN = 2;
const REQUESTS_PER_CONNECTION = 20;
const KINDS: readonly CallKind[] = [
  CallKind.safe,
  CallKind.unsafe,
  CallKind.unsafe,
  CallKind.stream,
  CallKind.stream,
  CallKind.stream,
  CallKind.resumable,
  CallKind.resumable,
];
const BODY = "body of a request";
const LATE_BODY_ONE_IN = 3;
const LATE_BODY_RANGE_MS = 3000;
const SLOW_READER_ONE_IN = 6;
const MIN_READS_AFTER_MS = 300;
const READS_AFTER_RANGE_MS = 2000;
const MIN_TIMEOUT_MS = 4000;
const TIMEOUT_RANGE_MS = 10_000;
const MAX_RESUMPTIONS = 3;
const RECONNECT_DELAY_MS = 50;
const MIN_PAUSE_MS = 15;
const PAUSE_RANGE_MS = 60;

/** Starts the callers; resolves when the last one has ended. */
export async function startSeriesCallers(
  options: SeriesCallerOptions,
): Promise<void> {
  const { hosts, seed } = options;
  await Promise.all(
    Array.from({ length: hosts.length * CALLERS_PER_HOST }, async (_, at) => {
      const random = mixedGenerator(seed * 1000 + at);
      const isLoyal = at % LOYAL_ONE_IN === 0;
      const caller = { at, random, isLoyal, options };
      await sleep(randomInt(random, MIN_TIMEOUT_MS / 10));
      for (let round = 0; !options.isStopped(); round++) {
        await useConnection(caller, `s${seed}-${at}-${round}`);
      }
    }),
  );
}

type Caller = {
  readonly at: number;
  readonly random: RandomGenerator;
  readonly isLoyal: boolean;
  readonly options: SeriesCallerOptions;
};

/** Sends requests over one connection until a response is not complete. */
async function useConnection(caller: Caller, name: string): Promise<void> {
  const { random, options } = caller;
  const host = chooseHost(caller);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 0; count < REQUESTS_PER_CONNECTION; count++) {
    if (options.isStopped()) break;
    const call = await callSlowly(caller, {
      agent,
      host,
      id: `${name}-${count}`,
      kind: KINDS[randomInt(random, KINDS.length)] ?? CallKind.safe,
    });
    await resume(caller, host, call);
    await sleep(MIN_PAUSE_MS + randomInt(random, PAUSE_RANGE_MS));
    if (!call.isComplete) break;
  }
  agent.destroy();
  await sleep(RECONNECT_DELAY_MS);
}

/** Resumes a stream that broke, often at the host that broke it. */
async function resume(
  caller: Caller,
  first: FleetHost,
  broken: SeriesCall,
): Promise<void> {
  let previous = broken;
  for (let count = 1; count <= MAX_RESUMPTIONS; count++) {
    const resumption = findResumption(previous);
    if (!resumption) return;
    const host = randomInt(caller.random, 2) === 0 ? first : chooseHost(caller);
    const agent = new Agent();
    previous = await callSlowly(caller, {
      agent,
      host,
      id: `${broken.id}-r${count}`,
      kind: broken.kind,
      resumption,
    });
    agent.destroy();
  }
}

async function callSlowly(
  { random, options }: Caller,
  { host, ...call }:
    & Pick<Parameters<typeof callOnce>[0], "agent" | "id" | "kind">
    & Pick<CallResult, "resumption">
    & { readonly host: FleetHost },
): Promise<SeriesCall> {
  const [name] = callerHosts([host]);
  if (!name) throw new Error("There is no host to call");
  const { resumption, ...rest } = call;
  const timeoutMs = MIN_TIMEOUT_MS + randomInt(random, TIMEOUT_RANGE_MS);
  const isLate = randomInt(random, LATE_BODY_ONE_IN) === 0;
  const isSlow = randomInt(random, SLOW_READER_ONE_IN) === 0;
  const bodyAfterMs = randomInt(random, LATE_BODY_RANGE_MS);
  const readsAfterMs = MIN_READS_AFTER_MS +
    randomInt(random, READS_AFTER_RANGE_MS);
  const result = await callOnce({
    ...rest,
    ...(resumption && { resumption }),
    host: name,
    body: BODY,
    abortsEarly: false,
    timeoutMs,
    bodyAfterMs: isLate ? bodyAfterMs : 0,
    readsAfterMs: isSlow ? readsAfterMs : 0,
  });
  const seriesCall = { ...result, timeoutMs };
  options.onCall(seriesCall);
  return seriesCall;
}

function chooseHost({ at, random, isLoyal, options }: Caller): FleetHost {
  const { hosts } = options;
  const own = hosts[at % hosts.length];
  const ready = hosts.filter(isInRotation);
  const candidates = ready.length > 0 ? ready : hosts;
  const other = candidates[randomInt(random, candidates.length)];
  const host = isLoyal ? own : other;
  if (!host) throw new Error("The fleet has no hosts");
  return host;
}
