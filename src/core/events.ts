/** What the shell tells the core: one tagged union. */
import type { AttemptId, RequestId } from "./request_ids.ts";
import type { HostId, UpstreamId } from "../util/ids.ts";
import type { HostList, PeerMessage } from "../messages/peer.ts";

/** A caller's request, already parsed and measured by the shell. */
export type CallerRequest = {
  readonly type: "callerRequest";
  readonly request: RequestId;
  /** SHA-256 of the API key, in hex. */
  readonly keyHash: string;
  readonly service: string;
  /** "completion" goes through prefill and decode; "plain" is one call. */
  readonly kind: "completion" | "plain";
  readonly path: string;
  /** Opaque to the core. */
  readonly body: string;
  readonly stream: boolean;
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks, each covering all before it. */
  readonly prefixes: readonly number[];
  readonly maxTokens: number;
  /** Not to be repeated. */
  readonly once: boolean;
  /** The caller's own Idempotency-Key. */
  readonly callerKey?: string;
  /** Time that the caller gives the request, when it says so. */
  readonly patienceMs?: number;
};

/** How an upstream call failed. */
export const Failure = {
  /** No byte left, or the upstream said that it did not start. */
  notStarted: "not-started",
  /** The call broke; the upstream may hold or run the attempt. */
  broken: "broken",
  /** The upstream does not know the attempt (any more). */
  gone: "gone",
  /** The upstream read the request and finds it faulty; nothing ran. */
  rejected: "rejected",
} as const;
/** One of the values of {@link Failure}. */
export type Failure = typeof Failure[keyof typeof Failure];

/** An upstream's own report of its load. */
export type LoadReport = {
  readonly running: number;
  readonly slots: number;
  readonly prefillQueueTokens: number;
  /** Measured prefill tokens a second. */
  readonly prefillRate: number;
  /** Last step time of the decode batch. */
  readonly stepMs: number;
  readonly draining: boolean;
  /** What it does now; absent: as the host list says. */
  readonly role?: string;
  /** Changes when the engine has restarted. */
  readonly epoch: number;
};

/** One cache event; `hash` is a prefix block's. */
export type CacheEvent = { readonly stored: boolean; readonly hash: number };

/** One row of the platform's table; a null value is a removed row. */
export type TableRow = {
  readonly key: string;
  readonly revision: number;
  readonly value: string | null;
};

/** Everything that can happen to an entry host. */
export type Event =
  | { readonly type: "tick" }
  | CallerRequest
  | { readonly type: "callerGone"; readonly request: RequestId }
  | {
    readonly type: "prefillDone";
    readonly attempt: AttemptId;
    /** Opaque transfer parameters for the decode call. */
    readonly transfer: string;
    /** How long the engine keeps the export. */
    readonly keptMs: number;
    readonly cachedTokens: number;
  }
  | {
    readonly type: "chunk";
    readonly attempt: AttemptId;
    /** Position of the chunk's first token in the answer. */
    readonly index: number;
    readonly tokens: number;
    readonly text: string;
    readonly last: boolean;
    /** Why the answer ends, on the last chunk. */
    readonly finish?: string;
  }
  | {
    readonly type: "plainDone";
    readonly attempt: AttemptId;
    readonly status: number;
    readonly body: string;
  }
  | {
    readonly type: "attemptFailed";
    readonly attempt: AttemptId;
    readonly upstream: UpstreamId;
    readonly failure: Failure;
  }
  | {
    readonly type: "cancelDone";
    readonly attempt: AttemptId;
    readonly upstream: UpstreamId;
  }
  | {
    readonly type: "loadReport";
    readonly upstream: UpstreamId;
    readonly report: LoadReport;
  }
  | {
    readonly type: "cacheEvents";
    readonly upstream: UpstreamId;
    /** Sequence number of the first event in the list. */
    readonly from: number;
    readonly events: readonly CacheEvent[];
  }
  | {
    readonly type: "heldList";
    readonly upstream: UpstreamId;
    readonly attempts: readonly AttemptId[];
  }
  | {
    readonly type: "peerMessage";
    readonly from: HostId;
    readonly incarnation: number;
    readonly message: PeerMessage;
  }
  | { readonly type: "peerFailed"; readonly peer: HostId }
  | { readonly type: "hostList"; readonly list: HostList }
  | {
    readonly type: "tableRows";
    readonly call: number;
    readonly rows: readonly TableRow[];
    readonly revision: number;
  }
  | {
    readonly type: "tableWritten";
    readonly call: number;
    readonly revision: number;
  }
  | {
    readonly type: "tableConflict";
    readonly call: number;
    readonly keys: readonly string[];
  }
  /** No answer: a write may or may not have taken effect. */
  | { readonly type: "tableLost"; readonly call: number }
  /** An upstream has seen a higher fence than an order's. */
  | { readonly type: "orderRefused"; readonly upstream: UpstreamId }
  /** This host has passed an operator's publish on to the platform. */
  | { readonly type: "settingsPublished" }
  /** The process was asked to stop. */
  | { readonly type: "stopAsked" };

/** A piece of an answer. */
export type Chunk = Extract<Event, { readonly type: "chunk" }>;
/** A plain service's answer. */
export type PlainAnswer = Extract<Event, { readonly type: "plainDone" }>;
