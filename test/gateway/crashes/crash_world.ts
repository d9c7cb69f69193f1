/**
 * Random traffic at a service whose replicas crash, in virtual time, with one
 * host that sees all of it: how many replicas a part crashes, and who is refused.
 */
import { xoroshiro128plus } from "pure-rand";
import { CrashWatch } from "../../../src/gateway/crashes/crash_watch.ts";
import { randomInt } from "../../../src/util/random.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { replicaEntry } from "../replica_entry.ts";
import { namedFingerprints } from "./named_fingerprints.ts";
import { UNASKED } from "./unasked.ts";

/** What a world plays. */
export type CrashWorldOptions = {
  readonly seed: number;
  readonly durationMs: number;
  readonly replicas: number;
  /** Ordinary requests per second. */
  readonly ordinaryRate: number;
  /** Requests with the crashing part per second, from `crashingFromMs` on. */
  readonly crashingRate: number;
  readonly crashingFromMs: number;
  /** Crashes per second for other causes. */
  readonly otherCrashRate: number;
  /** Number of first parts; each is shared by a whole route. */
  readonly routes: number;
  /** Number of middle parts that many requests share. */
  readonly documents: number;
  /** Whether broken requests are sent again, twice at most. */
  readonly isResumable: boolean;
};

/** What happened in a world. */
export type CrashWorldResult = {
  /** When replicas crashed under the crashing part. */
  readonly crashTimes: readonly number[];
  /** When requests with the crashing part were sent to replicas. */
  readonly crashingSends: readonly number[];
  /** Ordinary requests. */
  readonly ordinary: number;
  /** Ordinary requests that were refused, and when. */
  readonly refusedAt: readonly number[];
};

/** The part that crashes replicas. */
export const CRASHING_PART = "crashing part";
const CRASH_DELAY_MS = 50;
const RESTART_MS = 3000;
const MIN_RUN_MS = 400;
const RUN_RANGE_MS = 3500;
const MAX_SENDS = 3;

type Run = {
  readonly request: WorldRequest;
  readonly sentAt: number;
  hasEnded: boolean;
};
type WorldRequest = {
  readonly name: string;
  readonly parts: readonly string[];
  readonly isCrashing: boolean;
  sends: number;
};
type WorldReplica = { name: string; readonly runs: Set<Run>; isUp: boolean };

/** Plays a world. */
export async function playCrashWorld(
  options: CrashWorldOptions,
): Promise<CrashWorldResult> {
  const world = new CrashWorld(options);
  await world.play();
  return world;
}

class CrashWorld implements CrashWorldResult {
  readonly crashTimes: number[] = [];
  readonly crashingSends: number[] = [];
  readonly refusedAt: number[] = [];
  ordinary = 0;
  readonly #options: CrashWorldOptions;
  readonly #time = new VirtualTime();
  readonly #random;
  readonly #replicas: WorldReplica[];
  readonly #watch: CrashWatch;
  #count = 0;

  constructor(options: CrashWorldOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.#replicas = Array.from({ length: options.replicas }, (_, at) => ({
      name: `r${at}`,
      runs: new Set<Run>(),
      isUp: true,
    }));
    const { clock } = this.#time;
    this.#watch = new CrashWatch({
      clock,
      events: { note: () => undefined },
      metrics: { count: () => undefined },
      host: "host",
      rule: { crashThreshold: 3, ttlMs: 300_000 },
      isDraining: () => false,
      probe: () =>
        new Promise((resolve) => clock.after(30, () => resolve("refused"))),
      countReplicas: () => this.#upReplicas().length,
      ...UNASKED,
      isAlive: () => Promise.resolve(false),
    });
  }

  async play(): Promise<void> {
    const { ordinaryRate, crashingRate, otherCrashRate } = this.#options;
    this.#repeat(ordinaryRate, 0, () => this.#sendOrdinary());
    this.#repeat(crashingRate, this.#options.crashingFromMs, () => {
      this.#send(this.#requestOf(["route 0", CRASHING_PART], true));
    });
    this.#repeat(otherCrashRate, 0, () => {
      const replica = this.#pickReplica();
      if (replica) this.#crash(replica);
    });
    await this.#time.runTo(this.#options.durationMs);
  }

  /** Repeats at random times with this mean rate per second. */
  #repeat(rate: number, fromMs: number, act: () => void): void {
    if (rate === 0) return;
    const next = (afterMs: number) => {
      const uniform = (randomInt(this.#random, 1_000_000) + 1) / 1_000_001;
      const waitMs = -Math.log(uniform) * 1000 / rate;
      this.#time.clock.after(afterMs + waitMs, () => {
        act();
        next(0);
      });
    };
    next(fromMs);
  }

  #sendOrdinary(): void {
    const { routes, documents } = this.#options;
    const first = `route ${randomInt(this.#random, routes)}`;
    // Half of the requests have a middle part of their own.
    const isShared = documents > 0 && randomInt(this.#random, 2) === 0;
    const middle = isShared
      ? `document ${this.#pickDocument()}`
      : `middle ${this.#count}`;
    this.ordinary += 1;
    this.#send(this.#requestOf([first, middle], false));
  }

  /** Some documents are asked for much more often than others. */
  #pickDocument(): number {
    const limit = randomInt(this.#random, this.#options.documents) + 1;
    return randomInt(this.#random, limit);
  }

  #requestOf(parts: readonly string[], isCrashing: boolean): WorldRequest {
    this.#count += 1;
    const name = `${this.#count} request`;
    return { name, parts, isCrashing, sends: 0 };
  }

  #send(request: WorldRequest): void {
    const { name, parts, isCrashing } = request;
    const fingerprints = namedFingerprints(name, parts);
    if (this.#watch.quarantineOf(fingerprints)) {
      if (!isCrashing && request.sends === 0) {
        this.refusedAt.push(this.#time.now);
      }
      return;
    }
    const replica = this.#pickReplica();
    if (!replica) return;
    request.sends += 1;
    if (isCrashing) this.crashingSends.push(this.#time.now);
    const run = { request, sentAt: this.#time.now, hasEnded: false };
    replica.runs.add(run);
    const { clock } = this.#time;
    if (isCrashing) {
      clock.after(CRASH_DELAY_MS, () => {
        if (run.hasEnded) return;
        this.crashTimes.push(this.#time.now);
        this.#crash(replica);
      });
      return;
    }
    clock.after(MIN_RUN_MS + randomInt(this.#random, RUN_RANGE_MS), () => {
      if (run.hasEnded) return;
      run.hasEnded = true;
      replica.runs.delete(run);
      this.#watch.noteAnswered(fingerprints);
    });
  }

  #crash(replica: WorldReplica): void {
    const entry = replicaEntry(replica.name);
    const broken = [...replica.runs];
    replica.runs.clear();
    replica.isUp = false;
    this.#count += 1;
    replica.name = `r${this.#count}`;
    this.#time.clock.after(RESTART_MS, () => replica.isUp = true);
    for (const run of broken) {
      run.hasEnded = true;
      const { name, parts } = run.request;
      this.#watch.noteBrokenSend(entry, {
        fingerprints: namedFingerprints(name, parts),
        sentAt: run.sentAt,
        endedByReplica: true,
      });
    }
    if (!this.#options.isResumable) return;
    for (const { request } of broken) {
      if (request.sends >= MAX_SENDS) continue;
      this.#time.clock.after(CRASH_DELAY_MS, () => this.#send(request));
    }
  }

  #upReplicas(): WorldReplica[] {
    return this.#replicas.filter(({ isUp }) => isUp);
  }

  #pickReplica(): WorldReplica | undefined {
    const up = this.#upReplicas();
    return up[randomInt(this.#random, Math.max(1, up.length))];
  }
}
