/** The three workloads of the policy bench. */
import {
  DEFAULT_ENGINE,
  type EngineParameters,
} from "../../src/standins/engine/mod.ts";
import type { LaidUpstream, Layout } from "../../test/fake/layout.ts";

/** One kind of request of a workload. */
export type Kind = {
  readonly name: string;
  readonly customer: string;
  /** Share of all requests. */
  readonly share: number;
  readonly prompt: readonly [number, number];
  readonly output: readonly [number, number];
  /** Groups that share a leading part, with the part's size. */
  readonly groups: number;
  readonly sharedTokens: readonly [number, number];
  /** Size of a prompt's own part, as a share of the shared part. */
  readonly ownShare: number;
  /** How skewed the groups are: Zipf's exponent. */
  readonly skew: number;
  readonly firstTokenMs: number;
};

/** A workload: a fleet and what is asked of it. */
export type Workload = {
  readonly name: string;
  readonly service: string;
  readonly layout: Layout;
  readonly engine: EngineParameters;
  readonly kinds: readonly Kind[];
  /** The rate rises by this factor for a tenth of the time. */
  readonly burst: number;
};

const HALLS = ["hall-a", "hall-b", "hall-c"];

function layout(
  service: string,
  prefills: number,
  decodes: number,
  engine: Partial<EngineParameters>,
  hosts: number,
): Layout {
  const place = (n: number): string => HALLS[n % HALLS.length] ?? "";
  const upstreams = Array.from(
    { length: prefills + decodes },
    (_, n): LaidUpstream => ({
      id: n < prefills ? `p-${n}` : `d-${n - prefills}`,
      hall: place(n),
      service,
      role: n < prefills ? "prefill" : "decode",
      engine,
    }),
  );
  return {
    hosts: Array.from(
      { length: hosts },
      (_, n) => ({ id: `host-${n}`, hall: place(n) }),
    ),
    upstreams,
  };
}

const BENCH_ENGINE = { ...DEFAULT_ENGINE, chunkTokens: 8 };

/** Recaps of long logs, captions and tags; bursts after final whistles. */
export function armor(hosts = 9, engine: Partial<EngineParameters> = {}) {
  const its = { ...BENCH_ENGINE, cacheTokens: 120_000, ...engine };
  return {
    name: "armor",
    service: "recap-llm",
    layout: layout("recap-llm", 3, 5, its, hosts),
    engine: its,
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
        ownShare: 0.1,
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
        ownShare: 0.1,
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
        ownShare: 0.1,
        skew: 0,
        firstTokenMs: 560,
      },
    ],
  } satisfies Workload;
}

/** The same with too many prefill upstreams. */
export function armorSkewed(
  hosts = 9,
  engine: Partial<EngineParameters> = {},
): Workload {
  const usual = armor(hosts, engine);
  const its = usual.engine;
  const skewed = layout("recap-llm", 6, 2, its, hosts);
  return { ...usual, name: "armor 6 + 2", layout: skewed };
}

/** Four times the fleet, for several pools. */
export function armorLarge(
  hosts = 9,
  engine: Partial<EngineParameters> = {},
): Workload {
  const usual = armor(hosts, engine);
  const [recap, ...others] = usual.kinds;
  const its = usual.engine;
  return {
    ...usual,
    name: "armor x 4",
    layout: layout("recap-llm", 12, 20, its, hosts * 2),
    kinds: recap ? [{ ...recap, groups: 96 }, ...others] : others,
  };
}

/** Long planning files read repeatedly, and checks at the counter. */
export function forum(hosts = 9, engine: Partial<EngineParameters> = {}) {
  const its = { ...BENCH_ENGINE, ...engine };
  return {
    name: "forum",
    service: "jazykovy-model",
    layout: layout("jazykovy-model", 6, 7, its, hosts),
    engine: its,
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
        ownShare: 0.1,
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
        ownShare: 0.1,
        skew: 0,
        firstTokenMs: 400,
      },
    ],
  } satisfies Workload;
}

/** The paper's: long prefixes, four to an upstream's cache. */
export function paper(hosts = 9, engine: Partial<EngineParameters> = {}) {
  const its = {
    ...BENCH_ENGINE,
    prefillRate: 20_480,
    cacheTokens: 220_000,
    transferMsPerToken: 0.002,
    ...engine,
  };
  return {
    name: "paper",
    service: "paper-llm",
    layout: layout("paper-llm", 10, 6, its, hosts),
    engine: its,
    burst: 1,
    kinds: [{
      name: "code",
      customer: "paper",
      share: 1,
      prompt: [56_000, 57_000],
      output: [20, 60],
      groups: 40,
      sharedTokens: [54_784, 54_784],
      ownShare: 0.027,
      skew: 1,
      firstTokenMs: 4000,
    }],
  } satisfies Workload;
}
