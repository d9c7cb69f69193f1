/** One run of the soak: real processes, callers, faults, and the checks. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { xoroshiro128plus } from "pure-rand";
import { CallKind, runCaller, type Seen } from "./callers.ts";
import {
  CRASHING_NAME,
  type Evidence,
  findViolations,
  type Violation,
} from "./checks.ts";
import {
  callHost,
  checkReadiness,
  endHosts,
  type FleetHost,
  isIn,
  makeHosts,
  versionAt,
} from "./fleet.ts";
import { FaultKind, type Schedule } from "./schedule.ts";
import { pause, strike } from "./strike.ts";
import { CRASHING_BODY } from "../platform/replica_standin.ts";
import { World } from "./world.ts";

/** What came of a run. */
export type Outcome = {
  readonly schedule: Schedule;
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  /** Logs and settings of the processes; kept only after a violation. */
  readonly folder: string;
};

const CHECK_MS = 500;
const VERSION_MS = 300;
/** Longest time that a fleet may take to serve again. */
const RECOVERY_MS = 25_000;
/** A run that takes longer is stuck. */
const LONGEST_MS = 120_000;
/** After the last fault: hosts know by then who has left. */
const KNOWN_MS = 3500;
/** After the last caller: nothing runs any more by then. */
const QUIET_MS = 3000;

/** The pause of a caller whose request crashes its replicas. */
const CRASHING_PAUSE_MS = 500;
/** Faults that strike a host's process. */
const PROCESS_FAULTS: readonly FaultKind[] = [
  FaultKind.kill,
  FaultKind.stop,
  FaultKind.pause,
];
/** Faults that strike a host or its paths. */
const HOST_FAULTS: readonly FaultKind[] = [
  ...PROCESS_FAULTS,
  FaultKind.storePathSilent,
  FaultKind.storePathOneWay,
  FaultKind.storePathReset,
  FaultKind.peerPathSilent,
  FaultKind.peerPathSlow,
  FaultKind.peerPathReset,
];

/** Its seed and logs are kept as those of any other violation. */
const STUCK: Violation = {
  rule: "ended",
  detail: `The run did not end within ${LONGEST_MS} ms`,
};

/** Plays one schedule. */
export async function runSoak(schedule: Schedule): Promise<Outcome> {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-soak-"));
  const world = await World.start();
  const storeAddress = world.store.address;
  const hosts = await makeHosts(schedule.hosts, { folder, storeAddress });
  const run = new Run(schedule, world, hosts);
  try {
    const evidence = await inTime(run.play());
    if (evidence === undefined) {
      const violations = [STUCK];
      return { schedule, violations, requests: 0, served: 0, folder };
    }
    const violations = findViolations(evidence);
    if (violations.length === 0) rmSync(folder, { recursive: true });
    const { seen } = evidence;
    const served = seen.filter((one) => one.status === 200 && one.isComplete);
    const requests = seen.length;
    return { schedule, violations, requests, served: served.length, folder };
  } finally {
    await run.end();
  }
}

/** Resolves with nothing when the work takes too long. */
function inTime<Value>(work: Promise<Value>): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), LONGEST_MS);
    work.finally(() => clearTimeout(timer)).then(resolve, reject);
  });
}

class Run {
  readonly #schedule: Schedule;
  readonly #world: World;
  readonly #hosts: readonly FleetHost[];
  readonly #seen: Seen[] = [];
  readonly #versions = new Map<string, number[]>();
  #isOver = false;
  #hasEnded = false;

  constructor(schedule: Schedule, world: World, hosts: readonly FleetHost[]) {
    this.#schedule = schedule;
    this.#world = world;
    this.#hosts = hosts;
  }

  async play(): Promise<Evidence> {
    for (const { process } of this.#hosts) process.start();
    for (const host of this.#hosts) this.#watch(host);
    const late = await this.#whichDoNotServe();
    const callers = this.#startCallers();
    const struck = { world: this.#world, hosts: this.#hosts };
    await Promise.all(this.#schedule.faults.map(async (fault) => {
      await pause(fault.atMs);
      await strike(struck, fault);
    }));
    const knownAtMs = performance.now() + KNOWN_MS;
    const dead = await this.#whichDoNotServe();
    await pause(Math.max(0, knownAtMs + CHECK_MS - performance.now()));
    this.#isOver = true;
    await Promise.all(callers);
    await pause(QUIET_MS);
    return this.#evidence([...late, ...dead], knownAtMs);
  }

  async end(): Promise<void> {
    this.#isOver = true;
    this.#hasEnded = true;
    await endHosts(this.#hosts);
    this.#world.stop();
  }

  #evidence(dead: readonly string[], knownAtMs: number): Evidence {
    const { arrivals, faults, left, limits, unheard } = this.#world;
    return {
      seen: this.#seen,
      arrivals,
      faults,
      limits,
      unheard,
      exits: this.#hosts.flatMap(({ process }) =>
        process.exits.map((exit) => ({ ...exit, host: process.name }))
      ),
      versions: this.#versions,
      left: new Map([...left].map((id) => [id, knownAtMs])),
      running: this.#world.running(),
      dead,
      isCalm: this.#schedule.isCalm,
      unstruck: this.#hostsWithout(HOST_FAULTS),
      steady: this.#hostsWithout(PROCESS_FAULTS),
    };
  }

  #hostsWithout(kinds: readonly FaultKind[]): ReadonlySet<string> {
    const { faults } = this.#schedule;
    const struck = new Set(
      faults.filter((one) => kinds.includes(one.kind))
        .map((one) => one.target % this.#hosts.length),
    );
    const names = this.#hosts.map((one) => one.process.name);
    return new Set(names.filter((_, at) => !struck.has(at)));
  }

  #startCallers(): Promise<void>[] {
    const { seed, callers, hasCrashing } = this.#schedule;
    const byName = new Map(this.#hosts.map((one) => [one.process.name, one]));
    const hosts = this.#hosts.map(({ process, callers: address }) => ({
      name: process.name,
      address,
    }));
    const shared = {
      hosts,
      isIn: (name: string) => {
        const host = byName.get(name);
        return host !== undefined && isIn(host);
      },
      isOver: () => this.#isOver,
      saw: (seen: Seen) => this.#seen.push(seen),
    };
    const started = Array.from({ length: callers }, (_, at) =>
      runCaller({
        ...shared,
        random: xoroshiro128plus(seed * 1000 + at),
        name: `s${seed}c${at}`,
      }));
    if (!hasCrashing) return started;
    const crashing = runCaller({
      ...shared,
      random: xoroshiro128plus(seed * 1000 + callers),
      name: `${CRASHING_NAME}-s${seed}`,
      kinds: [seed % 2 === 0 ? CallKind.stream : CallKind.resumable],
      body: CRASHING_BODY,
      pauseMs: CRASHING_PAUSE_MS,
    });
    return [...started, crashing];
  }

  /** The balancer's checks, and the versions that the host tells. */
  #watch(host: FleetHost): void {
    const check = async () => {
      while (!this.#hasEnded) {
        await checkReadiness(host);
        await pause(CHECK_MS);
      }
    };
    const look = async () => {
      while (!this.#hasEnded) {
        const life = `${host.process.name} life ${host.process.life}`;
        const version = await versionAt(host);
        const isSame = life.endsWith(` ${host.process.life}`);
        if (version !== undefined && isSame) {
          const told = this.#versions.get(life) ?? [];
          this.#versions.set(life, told);
          if (told.at(-1) !== version) told.push(version);
        }
        await pause(VERSION_MS);
      }
    };
    void check();
    void look();
  }

  /** Hosts that do not serve every kind of request, at the newest version. */
  async #whichDoNotServe(): Promise<string[]> {
    const endsAt = performance.now() + RECOVERY_MS;
    const dead = await Promise.all(this.#hosts.map(async (host) => {
      for (let round = 0; performance.now() < endsAt; round++) {
        if (await this.#serves(host, round)) return undefined;
        await pause(VERSION_MS);
      }
      return host.process.name;
    }));
    return dead.filter((one) => one !== undefined);
  }

  async #serves(host: FleetHost, round: number): Promise<boolean> {
    if (!isIn(host)) return false;
    if (await versionAt(host) !== this.#world.version) return false;
    for (const kind of Object.values(CallKind)) {
      const { name } = host.process;
      const at = `${Math.round(performance.now())}-${round}`;
      const id = `probe-${name}-${kind}-${at}`;
      const seen = await callHost(host, { id, kind });
      this.#seen.push(seen);
      if (seen.status !== 200 || !seen.isComplete) return false;
    }
    return true;
  }
}
