/** Disrupts the starts and stops of hosts. */
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { mixedGenerator } from "./draw_faults.ts";
import type { FleetHost } from "./fleet.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import { holdPort } from "./held_port.ts";
import { sleep } from "./sleep.ts";
import { startStopCallers, type StopCall } from "./stop_callers.ts";

/** Signals are sent within this time of a start. */
const START_RANGE_MS = 401;
/** Reloads of one start. */
const RELOADS_PER_START = 2;
/** From the last signal of a start until the process is killed. */
const RUN_MS = 300;
const RESTART_DELAY_MS = 400;
/**
 * How long a port is taken, or a settings file isn't whole, from the first line
 * of the program on.
 */
const MIN_HELD_MS = 800;
const HELD_RANGE_MS = 1200;
/** Callers keep a host busy for this time before it is stopped. */
const WARM_UP_MS = 300;
/** One torn settings file in this many is missing instead. */
const MISSING_ONE_IN = 3;
const HUNDRED = 100;

/** Starts a fault; the result resolves when the host runs again. */
export function injectLifecycleFault(
  host: FleetHost,
  fault: Fault,
  stopCalls: StopCall[],
): () => Promise<void> {
  const random = mixedGenerator(fault.target + fault.atMs);
  const ended = play(host, fault, { random, stopCalls });
  return async () => {
    await ended;
    // A supervisor starts a process that has ended by itself.
    host.process.start();
  };
}

type Play = {
  readonly random: RandomGenerator;
  readonly stopCalls: StopCall[];
};

async function play(
  host: FleetHost,
  fault: Fault,
  { random, stopCalls }: Play,
): Promise<void> {
  const { process } = host;
  switch (fault.kind) {
    case FaultKind.reloadsDuringStarts:
      return await reloadStarts(process, random, fault.durationMs);
    case FaultKind.stopDuringStart:
      await process.kill();
      process.start();
      await sleep(randomInt(random, START_RANGE_MS));
      return await process.stop();
    case FaultKind.startBeforeEnd:
      return await process.replace();
    case FaultKind.portTaken:
      return await startWithTakenPort(host, random);
    case FaultKind.settingsTornAtStart: {
      await process.kill();
      tearSettings(process, random);
      process.start();
      await process.begun();
      await sleep(MIN_HELD_MS + randomInt(random, HELD_RANGE_MS));
      return process.settings.restore();
    }
    case FaultKind.settingsTorn: {
      tearSettings(process, random);
      process.reload();
      await sleep(MIN_HELD_MS + randomInt(random, HELD_RANGE_MS));
      process.settings.restore();
      return process.reload();
    }
    default:
      return await stopUnderLoad(host, random, stopCalls);
  }
}

/** Kills and starts a host in series, and reloads it during each start. */
async function reloadStarts(
  process: GatewayProcess,
  random: RandomGenerator,
  durationMs: number,
): Promise<void> {
  const deadline = performance.now() + durationMs;
  do {
    await process.kill();
    process.start();
    const delays = Array.from(
      { length: RELOADS_PER_START },
      () => randomInt(random, START_RANGE_MS),
    );
    await Promise.all(delays.map(async (delayMs) => {
      await sleep(delayMs);
      process.hangUp();
    }));
    await sleep(RUN_MS);
  } while (performance.now() < deadline);
}

async function startWithTakenPort(
  { process, callers, readiness, peers, metrics }: FleetHost,
  random: RandomGenerator,
): Promise<void> {
  const addresses = [callers, readiness, peers, metrics];
  const address = addresses[randomInt(random, addresses.length)] ?? callers;
  await process.kill();
  const release = await holdPort(address);
  process.start();
  await process.begun();
  await sleep(MIN_HELD_MS + randomInt(random, HELD_RANGE_MS));
  await release();
}

function tearSettings(
  { settings }: GatewayProcess,
  random: RandomGenerator,
): void {
  if (randomInt(random, MISSING_ONE_IN) === 0) settings.remove();
  else settings.truncate(randomInt(random, HUNDRED) / HUNDRED);
}

async function stopUnderLoad(
  { process, callers }: FleetHost,
  random: RandomGenerator,
  stopCalls: StopCall[],
): Promise<void> {
  let hasEnded = false;
  const host = { name: process.name, address: callers };
  const ended = startStopCallers({
    host,
    random,
    isStopped: () => hasEnded,
    onCall: (call) => stopCalls.push(call),
  });
  await sleep(WARM_UP_MS);
  await process.stop();
  hasEnded = true;
  await ended;
  await sleep(RESTART_DELAY_MS);
}
