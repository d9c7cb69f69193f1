/**
 * One run of the soak: starts processes and callers, injects faults and checks
 * the results.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CallKind, type CallResult } from "./call.ts";
import { findViolations, type Observations, type Violation } from "./checks.ts";
import {
  callHost,
  checkReadiness,
  createHosts,
  type FleetHost,
  isInRotation,
  memoryOf,
  readRoutesVersion,
  stopHosts,
} from "./fleet.ts";
import { pathCutIntervals } from "./path_faults.ts";
import type { Fault, FaultKind } from "./fault_kinds.ts";
import {
  HOST_FAULTS,
  hostFaultIntervals,
  hostsWithoutFaults,
  type PlayedFault,
  PROCESS_FAULTS,
} from "./host_faults.ts";
import { isEarlyHangup } from "./own_ends.ts";
import type { Schedule } from "./schedule.ts";
import { sendUnfinishedBodies } from "./unfinished_bodies.ts";
import { injectFault } from "./inject_fault.ts";
import { servingVersions } from "./releases.ts";
import { sleep } from "./sleep.ts";
import { startCallers } from "./soak_callers.ts";
import { StallMeter } from "./stall_meter.ts";
import type { ServingSample } from "./resumed_streams.ts";
import type { StopCall } from "./stop_callers.ts";
import { withTimeout } from "./with_timeout.ts";
import { World } from "./world.ts";

/** The outcome of a run. */
export type Outcome = {
  readonly schedule: Schedule;
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  /**
   * Logs and settings of the processes; deleted unless the run has violations.
   */
  readonly folder: string;
  /** Delays of this process's event loop, which plays replicas and callers. */
  readonly delays: string;
  /** Processes that SIGHUP ended before their program had begun. */
  readonly earlyHangups: number;
};

const READINESS_INTERVAL_MS = 500;
const VERSION_INTERVAL_MS = 300;
const SAMPLE_INTERVAL_MS = 100;
/** The time within which all hosts must serve again. */
const RECOVERY_TIMEOUT_MS = 25_000;
const RUN_TIMEOUT_MS = 120_000;
/**
 * The time after the last fault within which all hosts know the drained
 * replicas.
 */
const PROPAGATION_MS = 3500;
/** The time after the last caller within which all requests end. */
const SETTLE_MS = 3000;

/** Reported as a violation so that the seed and the logs are kept. */
const RUN_TIMED_OUT: Violation = {
  rule: "ended",
  detail: `The run did not end within ${RUN_TIMEOUT_MS} ms`,
};

/** Runs one schedule. */
export async function runSoak(schedule: Schedule): Promise<Outcome> {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-soak-"));
  const { load } = schedule;
  const world = await World.start(load);
  const storeAddress = world.store.address;
  const hosts = await createHosts(schedule.hosts, {
    folder,
    storeAddress,
    isScheduled: load.isScheduled,
    memoryMb: schedule.memoryMb,
  });
  const run = new Run(schedule, world, hosts);
  const stalls = new StallMeter();
  try {
    const observations = await withTimeout(
      run.play(),
      RUN_TIMEOUT_MS + schedule.settleMs,
    );
    const delays = stalls.end();
    const outcome = { schedule, folder, delays, earlyHangups: 0 };
    if (observations === undefined) {
      return {
        ...outcome,
        violations: [RUN_TIMED_OUT],
        requests: 0,
        served: 0,
      };
    }
    const violations = findViolations(observations);
    if (violations.length === 0) rmSync(folder, { recursive: true });
    const { calls } = observations;
    const served = calls.filter((call) =>
      call.status === 200 && call.isComplete
    );
    const requests = calls.length;
    const earlyHangups = observations.exits.filter(isEarlyHangup).length;
    return {
      ...outcome,
      violations,
      requests,
      served: served.length,
      earlyHangups,
    };
  } finally {
    await run.end();
  }
}

class Run {
  readonly #schedule: Schedule;
  readonly #world: World;
  readonly #hosts: readonly FleetHost[];
  readonly #calls: CallResult[] = [];
  readonly #versions = new Map<string, number[]>();
  readonly #playedFaults: PlayedFault[] = [];
  readonly #stopCalls: StopCall[] = [];
  readonly #servingSamples: ServingSample[] = [];
  #isStopped = false;
  #hasEnded = false;

  constructor(schedule: Schedule, world: World, hosts: readonly FleetHost[]) {
    this.#schedule = schedule;
    this.#world = world;
    this.#hosts = hosts;
  }

  async play(): Promise<Observations> {
    for (const { process } of this.#hosts) process.start();
    for (const host of this.#hosts) this.#monitor(host);
    const notStarted = await this.#findUnrecoveredHosts();
    await sleep(this.#schedule.settleMs);
    const callers = startCallers(this.#schedule, {
      hosts: this.#hosts,
      hotHost: () => this.#world.balance.hotHost,
      isStopped: () => this.#isStopped,
      onResult: (result) => this.#calls.push(result),
    });
    const bodies = sendUnfinishedBodies(
      this.#hosts.map((host) => host.callers),
      this.#schedule.load.unfinishedBodies,
    );
    void this.#sampleVersions();
    await Promise.all(
      this.#schedule.faults.map((fault) => this.#inject(fault)),
    );
    this.#world.endScarcity();
    const drainDeadlineMs = performance.now() + PROPAGATION_MS;
    const unrecovered = await this.#findUnrecoveredHosts();
    await sleep(
      Math.max(0, drainDeadlineMs + READINESS_INTERVAL_MS - performance.now()),
    );
    this.#isStopped = true;
    bodies.close();
    await Promise.all(callers);
    await sleep(SETTLE_MS);
    return this.#observations(
      [...notStarted, ...unrecovered],
      drainDeadlineMs,
    );
  }

  async #inject(fault: Fault): Promise<void> {
    await sleep(fault.atMs);
    const fromMs = performance.now();
    const targets = {
      world: this.#world,
      hosts: this.#hosts,
      stopCalls: this.#stopCalls,
    };
    await injectFault(targets, fault);
    this.#playedFaults.push({ fault, fromMs, toMs: performance.now() });
  }

  async #sampleVersions(): Promise<void> {
    while (!this.#isStopped) {
      const versions = servingVersions(this.#world);
      this.#servingSamples.push({ atMs: performance.now(), versions });
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }

  async end(): Promise<void> {
    this.#isStopped = true;
    this.#hasEnded = true;
    await stopHosts(this.#hosts);
    this.#world.stop();
  }

  #observations(
    unrecoveredHosts: readonly string[],
    drainDeadlineMs: number,
  ): Observations {
    const {
      arrivals,
      faults,
      cuts,
      drained,
      limits,
      disruptedReplicas,
    } = this.#world;
    return {
      calls: this.#calls,
      arrivals,
      faults,
      cuts,
      limits: limits.intervals,
      disruptedReplicas,
      exits: this.#hosts.flatMap(({ process }) =>
        process.exits.map((exit) => ({ ...exit, host: process.name }))
      ),
      memory: memoryOf(this.#hosts, this.#schedule.memoryMb),
      logs: new Map(
        this.#hosts.map(({ process }) => [process.name, process.logLines]),
      ),
      stopCalls: this.#stopCalls,
      played: this.#playedFaults,
      versions: this.#versions,
      drainDeadlines: new Map([...drained].map((id) => [id, drainDeadlineMs])),
      runningRequests: this.#world.runningRequests(),
      unrecoveredHosts,
      isPlannedOnly: this.#schedule.isPlannedOnly,
      unaffectedHosts: this.#hostsWithout(HOST_FAULTS),
      pathCuts: pathCutIntervals(this.#hosts, this.#playedFaults),
      uninterruptedHosts: this.#hostsWithout(PROCESS_FAULTS),
      hostFaults: hostFaultIntervals(this.#hosts, this.#playedFaults),
      servingSamples: this.#servingSamples,
    };
  }

  #hostsWithout(kinds: readonly FaultKind[]): ReadonlySet<string> {
    const { faults } = this.#schedule;
    return hostsWithoutFaults(this.#hosts, { faults, kinds });
  }

  /**
   * Polls the readiness of a host, as the load balancer does, and its route
   * version.
   */
  #monitor(host: FleetHost): void {
    const pollReadiness = async () => {
      while (!this.#hasEnded) {
        await checkReadiness(host);
        await sleep(READINESS_INTERVAL_MS);
      }
    };
    const pollVersion = async () => {
      while (!this.#hasEnded) {
        const processStart =
          `${host.process.name} start ${host.process.startCount}`;
        const version = await readRoutesVersion(host);
        const isSame = processStart.endsWith(` ${host.process.startCount}`);
        if (version !== undefined && isSame) {
          const reported = this.#versions.get(processStart) ?? [];
          this.#versions.set(processStart, reported);
          if (reported.at(-1) !== version) reported.push(version);
        }
        await sleep(VERSION_INTERVAL_MS);
      }
    };
    const pollMemory = async () => {
      while (!this.#hasEnded) {
        host.process.samplePeakMemory();
        await sleep(SAMPLE_INTERVAL_MS);
      }
    };
    if (this.#schedule.memoryMb !== undefined) void pollMemory();
    void pollReadiness();
    void pollVersion();
  }

  /**
   * Finds hosts that do not serve every kind of request with the latest version
   * in time.
   */
  async #findUnrecoveredHosts(): Promise<string[]> {
    const deadline = performance.now() + RECOVERY_TIMEOUT_MS;
    const unrecovered = await Promise.all(this.#hosts.map(async (host) => {
      for (let round = 0; performance.now() < deadline; round++) {
        if (await this.#isServing(host, round)) return undefined;
        await sleep(VERSION_INTERVAL_MS);
      }
      return host.process.name;
    }));
    return unrecovered.filter((name) => name !== undefined);
  }

  async #isServing(host: FleetHost, round: number): Promise<boolean> {
    if (!isInRotation(host)) return false;
    if (await readRoutesVersion(host) !== this.#world.version) return false;
    for (const kind of Object.values(CallKind)) {
      const { name } = host.process;
      const at = `${Math.round(performance.now())}-${round}`;
      const id = `probe-${name}-${kind}-${at}`;
      const result = await callHost(host, { id, kind });
      this.#calls.push(result);
      if (result.status !== 200 || !result.isComplete) return false;
    }
    return true;
  }
}
