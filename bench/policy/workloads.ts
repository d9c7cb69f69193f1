/** The workloads of the policy benchmark. */
import {
  DEFAULT_ENGINE,
  type EngineParameters,
} from "../../src/standins/engine/mod.ts";
import type { Layout, UpstreamLayout } from "../../test/fake/layout.ts";

/** A kind of request of a workload. */
export type RequestKind = {
  readonly name: string;
  readonly customer: string;
  /** Share of all requests. */
  readonly share: number;
  readonly prompt: readonly [number, number];
  readonly output: readonly [number, number];
  /** The number of groups of requests with a shared prefix. */
  readonly groups: number;
  /** The range of sizes of the shared prefix. */
  readonly sharedTokens: readonly [number, number];
  /** The size of a prompt's unique suffix relative to the shared prefix. */
  readonly uniqueShare: number;
  /** The Zipf exponent of the distribution over groups. */
  readonly skew: number;
  readonly firstTokenMs: number;
};

/** A fleet and the requests that it gets. */
export type Workload = {
  readonly name: string;
  readonly service: string;
  readonly layout: Layout;
  readonly engine: EngineParameters;
  readonly kinds: readonly RequestKind[];
  /** The rate rises by this factor for a tenth of the time. */
  readonly burst: number;
};

const HALLS = ["hall-a", "hall-b", "hall-c"];

function createLayout(
  service: string,
  prefills: number,
  decodes: number,
  engine: Partial<EngineParameters>,
  hosts: number,
): Layout {
  const hallOf = (n: number): string => HALLS[n % HALLS.length] ?? "";
  const upstreams = Array.from(
    { length: prefills + decodes },
    (_, n): UpstreamLayout => ({
      id: n < prefills ? `p-${n}` : `d-${n - prefills}`,
      hall: hallOf(n),
      service,
      role: n < prefills ? "prefill" : "decode",
      engine,
    }),
  );
  return {
    hosts: Array.from(
      { length: hosts },
      (_, n) => ({ id: `host-${n}`, hall: hallOf(n) }),
    ),
    upstreams,
  };
}

const BENCH_ENGINE = { ...DEFAULT_ENGINE, chunkTokens: 8 };

/** Recaps of long logs, captions and tags, with bursts. */
export function armor(hosts = 9, engine: Partial<EngineParameters> = {}) {
  const parameters = { ...BENCH_ENGINE, cacheTokens: 120_000, ...engine };
  return {
    name: "armor",
    service: "recap-llm",
    layout: createLayout("recap-llm", 3, 5, parameters, hosts),
    engine: parameters,
    burst: 3,
    kinds: [
      {
        name: "recap",
        customer: "armor",
        share: 0.35,
        prompt: [3000, 10_000],
        output: [150, 350],
        groups: 24,
        sharedTokens: [2500, 8000],
        uniqueShare: 0.1,
        skew: 0.8,
        firstTokenMs: 560,
      },
      {
        name: "caption",
        customer: "armor",
        share: 0.45,
        prompt: [60, 250],
        output: [15, 40],
        groups: 0,
        sharedTokens: [0, 0],
        uniqueShare: 0.1,
        skew: 0,
        firstTokenMs: 560,
      },
      {
        name: "tag",
        customer: "armor",
        share: 0.2,
        prompt: [40, 120],
        output: [2, 4],
        groups: 0,
        sharedTokens: [0, 0],
        uniqueShare: 0.1,
        skew: 0,
        firstTokenMs: 560,
      },
    ],
  } satisfies Workload;
}

/** The {@link armor} workload with too many prefill upstreams. */
export function armorSkewed(
  hosts = 9,
  engine: Partial<EngineParameters> = {},
): Workload {
  const base = armor(hosts, engine);
  const parameters = base.engine;
  const skewed = createLayout("recap-llm", 6, 2, parameters, hosts);
  return { ...base, name: "armor 6 + 2", layout: skewed };
}

/** The {@link armor} workload with four times the fleet, for several pools. */
export function armorLarge(
  hosts = 9,
  engine: Partial<EngineParameters> = {},
): Workload {
  const base = armor(hosts, engine);
  const [recap, ...others] = base.kinds;
  const parameters = base.engine;
  return {
    ...base,
    name: "armor x 4",
    layout: createLayout("recap-llm", 12, 20, parameters, hosts * 2),
    kinds: recap ? [{ ...recap, groups: 96 }, ...others] : others,
  };
}

/** Repeated requests with long files, and short checks. */
export function forum(hosts = 9, engine: Partial<EngineParameters> = {}) {
  const parameters = { ...BENCH_ENGINE, ...engine };
  return {
    name: "forum",
    service: "jazykovy-model",
    layout: createLayout("jazykovy-model", 6, 7, parameters, hosts),
    engine: parameters,
    burst: 2,
    kinds: [
      {
        name: "file",
        customer: "forum",
        share: 0.5,
        prompt: [8000, 30_000],
        output: [150, 400],
        groups: 40,
        sharedTokens: [7000, 28_000],
        uniqueShare: 0.1,
        skew: 0.9,
        firstTokenMs: 2000,
      },
      {
        name: "check",
        customer: "counter",
        share: 0.5,
        prompt: [80, 300],
        output: [4, 10],
        groups: 0,
        sharedTokens: [0, 0],
        uniqueShare: 0.1,
        skew: 0,
        firstTokenMs: 400,
      },
    ],
  } satisfies Workload;
}

/** Long prefixes, of which an upstream's cache holds four. */
export function paper(hosts = 9, engine: Partial<EngineParameters> = {}) {
  const parameters = {
    ...BENCH_ENGINE,
    prefillRate: 20_480,
    cacheTokens: 220_000,
    transferMsPerToken: 0.002,
    ...engine,
  };
  return {
    name: "paper",
    service: "paper-llm",
    layout: createLayout("paper-llm", 10, 6, parameters, hosts),
    engine: parameters,
    burst: 1,
    kinds: [{
      name: "code",
      customer: "paper",
      share: 1,
      prompt: [56_000, 57_000],
      output: [20, 60],
      groups: 40,
      sharedTokens: [54_784, 54_784],
      uniqueShare: 0.027,
      skew: 1,
      firstTokenMs: 4000,
    }],
  } satisfies Workload;
}
