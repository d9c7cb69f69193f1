/**
 * Timing and memory of a simulated model engine: one prefill worker, a decode
 * batch with a step time, exports and a link of limited bandwidth.
 */
import { type Cache, createCache } from "./cache.ts";

/** Parameters of an engine's timing, set in the stand-ins' settings files. */
export type EngineParameters = {
  /** Maximum number of concurrent decodes. */
  readonly slots: number;
  /** Prefilled tokens per second. */
  readonly prefillRate: number;
  /** Duration of a decode step without requests. */
  readonly stepBaseMs: number;
  /** Time that each running request adds to a decode step. */
  readonly stepPerRequestMs: number;
  /** Factor on the duration of a decode step while a prefill runs. */
  readonly stepBesidePrefill: number;
  /** Capacity of the prefix cache. */
  readonly cacheTokens: number;
  /** Tokens in one block of the prefix cache. */
  readonly blockTokens: number;
  /** TTL of an export. */
  readonly exportMs: number;
  /** Time to transfer one token's KV cache on the idle link. */
  readonly transferMsPerToken: number;
  /** Tokens in each chunk of a stream after the first. */
  readonly chunkTokens: number;
  /** Delay of load reports. */
  readonly reportLagMs: number;
};

/** Defaults, typical of a mid-size model on 8 accelerators. */
export const DEFAULT_ENGINE: EngineParameters = {
  slots: 48,
  prefillRate: 20_000,
  stepBaseMs: 14,
  stepPerRequestMs: 0.45,
  stepBesidePrefill: 1.6,
  cacheTokens: 200_000,
  blockTokens: 256,
  exportMs: 5000,
  transferMsPerToken: 0.0128,
  chunkTokens: 1,
  reportLagMs: 200,
};

/** A request to an engine. */
export type Job = {
  readonly attempt: string;
  readonly promptTokens: number;
  readonly prefixes: readonly number[];
  readonly outputTokens: number;
  readonly priority: number;
  /** Prefix of each word of the response, identifying the prompt. */
  readonly text: string;
};

/** A queued or running prefill. */
export type PrefillJob = {
  readonly job: Job;
  /** Whether this engine also decodes the request. */
  readonly local: boolean;
  cachedTokens: number;
};

/** A finished prefill's KV cache, retained for a decode engine. */
export type RetainedExport = {
  readonly attempt: string;
  readonly tokens: number;
  /** Tokens that were prefilled rather than found in the prefix cache. */
  readonly computedTokens: number;
  expiresAt: number;
  fetching: boolean;
};

/** A transfer of an export to another engine. */
export type Transfer = {
  readonly exportOf: string;
  readonly to: string;
  readonly attempt: string;
  readonly endsAt: number;
};

/** A queued, fetching or running decode. */
export type DecodeJob = {
  readonly job: Job;
  /** Location of the KV cache; absent when the prefill ran on this engine. */
  readonly source?: { readonly engine: string; readonly exportOf: string };
  /** Tokens generated so far. */
  produced: number;
  /** Tokens sent so far. */
  sent: number;
};

/** An effect of an engine that its server carries out. */
export type Output =
  | {
    readonly type: "prefilled";
    readonly attempt: string;
    readonly cachedTokens: number;
    readonly computedTokens: number;
  }
  | {
    readonly type: "chunk";
    readonly attempt: string;
    readonly index: number;
    readonly tokens: number;
    readonly text: string;
    readonly last: boolean;
  }
  | { readonly type: "failed"; readonly attempt: string }
  /** Requests an export from another engine. */
  | {
    readonly type: "fetch";
    readonly attempt: string;
    readonly engine: string;
    readonly exportOf: string;
  }
  /** Ends another engine's request for an export. */
  | {
    readonly type: "fetched";
    readonly to: string;
    readonly attempt: string;
    readonly ok: boolean;
  };

/** Counts of an engine's work since it started. */
export type EngineRecord = {
  /** Number of starts of each attempt. */
  readonly started: Map<string, number>;
  prefilledTokens: number;
  /** Tokens prefilled for attempts that expired or were cancelled. */
  wastedTokens: number;
  hitTokens: number;
  promptTokens: number;
};

/** State of an engine. */
export type Engine = {
  readonly id: string;
  readonly parameters: EngineParameters;
  readonly epoch: number;
  readonly cache: Cache;
  readonly prefillQueue: PrefillJob[];
  runningPrefill: { readonly work: PrefillJob; readonly endsAt: number } | null;
  readonly exports: Map<string, RetainedExport>;
  readonly transfers: Transfer[];
  linkFreeAt: number;
  /** New transfers start at this time at the earliest. */
  stalledUntil: number;
  /** Factor on prefill and step times, to simulate a slow replica. */
  slowdown: number;
  readonly decodeQueue: DecodeJob[];
  readonly fetching: Map<string, DecodeJob>;
  readonly running: Map<string, DecodeJob>;
  /** Finished decodes whose streams can still be resumed. */
  readonly finished: Map<string, DecodeJob & { expiresAt: number }>;
  stepEndsAt: number;
  stepMs: number;
  draining: boolean;
  /** Role set by an order; undefined when the host list sets it. */
  role: string | undefined;
  /** Highest fence of all orders received. */
  fence: number;
  snapshots: { readonly at: number; readonly report: LoadReport }[];
  outputs: Output[];
  readonly record: EngineRecord;
};

/** Load report of an engine. */
export type LoadReport = {
  readonly running: number;
  readonly slots: number;
  readonly prefillQueueTokens: number;
  readonly prefillRate: number;
  readonly stepMs: number;
  readonly draining: boolean;
  readonly role?: string;
  readonly epoch: number;
};

/** Creates an engine; `epoch` distinguishes its restarts. */
export function createEngine(
  id: string,
  parameters: EngineParameters,
  epoch: number,
): Engine {
  const blocks = Math.floor(parameters.cacheTokens / parameters.blockTokens);
  return {
    id,
    parameters,
    epoch,
    cache: createCache(blocks),
    prefillQueue: [],
    runningPrefill: null,
    exports: new Map(),
    transfers: [],
    linkFreeAt: 0,
    stalledUntil: 0,
    slowdown: 1,
    decodeQueue: [],
    fetching: new Map(),
    running: new Map(),
    finished: new Map(),
    stepEndsAt: Infinity,
    stepMs: 0,
    draining: false,
    role: undefined,
    fence: 0,
    snapshots: [],
    outputs: [],
    record: {
      started: new Map(),
      prefilledTokens: 0,
      wastedTokens: 0,
      hitTokens: 0,
      promptTokens: 0,
    },
  };
}

/** Counts a start of an attempt. */
export function noteStart(engine: Engine, attempt: string): void {
  const before = engine.record.started.get(attempt) ?? 0;
  engine.record.started.set(attempt, before + 1);
}
