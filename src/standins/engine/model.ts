/**
 * A model engine's timing and memory, in virtual time: one prefill worker, a
 * decode batch with a step time, kept exports and a link of limited rate.
 */
import { type Cache, createCache } from "./cache.ts";

/** Everything that sets an engine's timing; see standin settings files. */
export type EngineParameters = {
  /** Decode requests at once. */
  readonly slots: number;
  /** Prefill tokens a second. */
  readonly prefillRate: number;
  /** Decode step: base, and what each running request adds, in ms. */
  readonly stepBaseMs: number;
  readonly stepPerRequestMs: number;
  /** A decode step beside a prefill takes this many times as long. */
  readonly stepBesidePrefill: number;
  /** Prefix cache size, and tokens in one block. */
  readonly cacheTokens: number;
  readonly blockTokens: number;
  /** How long a prefill's export is kept. */
  readonly exportMs: number;
  /** Transfer of one token's KV cache on the idle link, in ms. */
  readonly transferMsPerToken: number;
  /** Tokens in one chunk of a stream, after the first. */
  readonly chunkTokens: number;
  /** Load reports show the state of this long ago. */
  readonly reportLagMs: number;
};

/** Defaults: an 8-accelerator replica of a middling model. */
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

/** A prompt as an engine sees it. */
export type Job = {
  readonly attempt: string;
  readonly promptTokens: number;
  readonly prefixes: readonly number[];
  readonly outputTokens: number;
  readonly priority: number;
  /** Seeds the answer's text, so that its owner can be told. */
  readonly text: string;
};

/** A prefill that waits or runs; `local` goes on to decode here. */
export type PrefillJob = {
  readonly job: Job;
  readonly local: boolean;
  cachedTokens: number;
};

/** A finished prefill's cache, kept for a decode engine. */
export type KeptExport = {
  readonly attempt: string;
  readonly tokens: number;
  /** Those of them that were computed, not found in the cache. */
  readonly computed: number;
  until: number;
  fetching: boolean;
};

/** A transfer out of this engine. */
export type Transfer = {
  readonly exportOf: string;
  readonly to: string;
  readonly attempt: string;
  readonly endsAt: number;
};

/** A decode that waits for a slot, for its cache, or runs. */
export type DecodeJob = {
  readonly job: Job;
  /** Where its cache is; absent when the prefill was done here. */
  readonly source?: { readonly engine: string; readonly exportOf: string };
  produced: number;
  sent: number;
};

/** What an engine makes happen outside. */
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
  /** Asks another engine for an export. */
  | {
    readonly type: "fetch";
    readonly attempt: string;
    readonly engine: string;
    readonly exportOf: string;
  }
  /** Answers such a question of another engine. */
  | {
    readonly type: "fetched";
    readonly to: string;
    readonly attempt: string;
    readonly ok: boolean;
  };

/** What an engine has done so far, by its own record. */
export type Record = {
  /** Attempts that started here. */
  readonly started: Map<string, number>;
  prefilledTokens: number;
  /** Tokens prefilled for exports that nobody fetched. */
  thrownTokens: number;
  hitTokens: number;
  promptTokens: number;
};

/** One engine. */
export type Engine = {
  readonly id: string;
  readonly parameters: EngineParameters;
  readonly epoch: number;
  readonly cache: Cache;
  readonly prefillQueue: PrefillJob[];
  prefillNow: { readonly work: PrefillJob; readonly endsAt: number } | null;
  readonly exports: Map<string, KeptExport>;
  readonly transfers: Transfer[];
  linkFreeAt: number;
  /** No transfer makes headway until then. */
  stalledUntil: number;
  /** Multiplies prefill and step times: a slow replica. */
  slowdown: number;
  readonly decodeQueue: DecodeJob[];
  readonly fetching: Map<string, DecodeJob>;
  readonly running: Map<string, DecodeJob>;
  /** Ended streams, kept a moment for resumes. */
  readonly finished: Map<string, DecodeJob & { until: number }>;
  stepEndsAt: number;
  stepMs: number;
  draining: boolean;
  /** Its role as ordered; absent: as the host list says. */
  role: string | undefined;
  /** Highest fence of any order so far. */
  fence: number;
  snapshots: { readonly at: number; readonly report: Report }[];
  outputs: Output[];
  readonly record: Record;
};

/** The engine's load report. */
export type Report = {
  readonly running: number;
  readonly slots: number;
  readonly prefillQueueTokens: number;
  readonly prefillRate: number;
  readonly stepMs: number;
  readonly draining: boolean;
  readonly role?: string;
  readonly epoch: number;
};

/** Makes an engine; the epoch tells its runs apart. */
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
    prefillNow: null,
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
      thrownTokens: 0,
      hitTokens: 0,
      promptTokens: 0,
    },
  };
}

/** Notes in the engine's record that an attempt started. */
export function noteStart(engine: Engine, attempt: string): void {
  const before = engine.record.started.get(attempt) ?? 0;
  engine.record.started.set(attempt, before + 1);
}
