/**
 * The gateway's interface to the platform it runs on. A platform adapter
 * implements it and only translates between formats.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Milliseconds } from "../util/units.ts";
import type { RouteConfig } from "./routing/model.ts";
import type { StorePosition } from "./position.ts";
import type { ReplicaEntry, ReplicaStage } from "./replicas/model.ts";
import type { ReplicaNotice } from "./replicas/notice.ts";

/** Metadata of a request, parsed from its headers. */
export type RequestMetadata = {
  /** The caller's id for this attempt. */
  readonly id?: string;
  /** The caller's timeout. */
  readonly timeoutMs?: Milliseconds;
  /** The longest `Retry-After` that the caller honors. */
  readonly maxRetryAfterMs?: Milliseconds;
  /** 0 if the headers name no prompt. */
  readonly promptTokens: number;
  /** Identifies the prompt; the same for all attempts of a request. */
  readonly promptKey?: string;
  /**
   * Ids of the parts of the prompt that other requests may share, in order; the
   * last part of a prompt is its own.
   */
  readonly promptParts?: readonly string[];
  /** Maximum number of tokens to generate. */
  readonly outputLimit: number;
  /** The caller's estimate of the tokens to generate. */
  readonly estimatedOutput?: number;
  /** Id of the last event that the caller has received. */
  readonly lastEventId?: string;
  /**
   * Id of the attempt that brought the first event of the stream that the
   * caller resumes.
   */
  readonly resumes?: string;
  /** SHA-256, in hex, of the customer's key. */
  readonly keyDigest?: string;
};

/** How a replica processes a request. */
export const CallMode = {
  /** Prefill and decode, or the full request at a plain service. */
  whole: "whole",
  /** Prefill only. */
  prefill: "prefill",
} as const;
/** One of the values of {@link CallMode}. */
export type CallMode = typeof CallMode[keyof typeof CallMode];

/** Metadata that the gateway adds to a request when it forwards it. */
export type CallMetadata = {
  readonly mode: CallMode;
  /**
   * Id of the intended replica; any other replica at the address rejects it.
   */
  readonly replica: string;
  /** Priority in the model engine's queue; 0 is the most urgent. */
  readonly priority?: number;
  /** Time left until the caller's timeout; absent if the caller set none. */
  readonly timeLeftMs?: Milliseconds;
  /** The finished prefill to decode from, and the address that stores it. */
  readonly export?: { readonly address: string; readonly id: string };
  /** Id of the memory reservation for this request. */
  readonly reservation?: string;
  /** Id of the last event that the caller already has. */
  readonly lastEventId?: string;
  /** The customer that sent the request. */
  readonly customer?: string;
};

/** Metadata of a replica's response, parsed from its status and headers. */
export type AnswerMetadata = ReplicaNotice & {
  /** Id of the request that it answers. */
  readonly id?: string;
  /** The replica reports that the request did not run. */
  readonly notRun: boolean;
  /** The address belongs to another replica now. */
  readonly misdirected: boolean;
};

/** A call that the gateway makes itself, with a JSON body if any. */
export type JsonCall = {
  readonly method: "POST" | "DELETE" | "GET";
  readonly path: string;
  /** JSON text. */
  readonly body?: string;
};

/** Status of a model engine. */
export type EngineReport = {
  /** Start of the replica, see `ReplicaEntry`; absent if it isn't reported. */
  readonly born?: number;
  readonly stage: ReplicaStage;
  /** Number of orders that it has accepted. */
  readonly orderCount: number;
  /** An order is in progress. */
  readonly isChanging: boolean;
  /**
   * Tokens of memory in use that can't be evicted, as of some hundred
   * milliseconds ago; absent if it doesn't report them.
   */
  readonly usedTokens?: number;
};

/** An order to change stage, issued under a lease. */
export type StageOrder = {
  /** The replica's id. */
  readonly replica: string;
  readonly stage: ReplicaStage;
  readonly holder: string;
  readonly fence: number;
  /** Precondition: the number of orders that it has accepted. */
  readonly ifOrders: number;
};

/** A call whose headers name the incarnation that may accept it. */
export type OrderCall = JsonCall & { readonly headers: readonly string[] };

/** A model engine's response to an order. */
export const OrderOutcome = {
  taken: "taken",
  /** The engine has seen a higher fence. */
  fenced: "fenced",
  /** Another order is in progress, or the precondition does not hold. */
  refused: "refused",
} as const;
/** One of the values of {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Wire format of callers' requests and of calls to replicas. */
export type Dialect = {
  /** Parses the headers of a caller's request. */
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** End-to-end headers to forward, as alternating names and values. */
  callHeaders(rawHeaders: readonly string[], head: CallMetadata): string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerMetadata;
  /** Parses the id of a finished prefill's export. */
  readExport(body: string): string | undefined;
  reserve(tokens: number, ttlMs: Milliseconds): JsonCall;
  /** Parses the id of a reservation. */
  readReservation(body: string): string | undefined;
  dropReservation(id: string): JsonCall;
  dropExport(id: string): JsonCall;
  /** Reads the replica's id from the response to a health check. */
  readHealth(headers: IncomingHttpHeaders): string | undefined;
  /** Requests the status of a model engine. */
  readonly report: JsonCall;
  readReport(body: string): EngineReport | undefined;
  /** Creates the call for an order. */
  orderStage(order: StageOrder): OrderCall;
  /** Maps the status of a response to the outcome of an order. */
  readOrder(status: number): OrderOutcome;
  /** Headers, in lower case, that `Connection` can't mark as hop-by-hop. */
  readonly endToEndHeaders: ReadonlySet<string>;
  /** Header, in lower case, that carries a customer's key. */
  readonly keyHeader: string;
  /** Header with the seconds after which a refused caller may retry. */
  readonly retryAfterHeader: string;
};

/** A host of the fleet as listed in the store. */
export type HostEntry = {
  readonly id: string;
  /** Address for peers. */
  readonly address: string;
  readonly hall: string;
  /**
   * Processor time in cores, or what its network link allows for if that is
   * less; absent if the host's settings don't state it.
   */
  readonly capacity?: number;
};

/** A row that can't be parsed. */
export type RowFault = { readonly key: string; readonly reason: string };

/** Common fields of replica reads, as of a position in the store's history. */
type ReplicaReading = StorePosition & {
  /** Time by the store's monotonic clock. */
  readonly nowMs: Milliseconds;
  readonly faults?: readonly RowFault[];
};
/** The full listing of replicas. */
export type StoreListing = ReplicaReading & {
  readonly entries: readonly ReplicaEntry[];
};
/** Changes of the listing since a position. */
export type StoreChanges = ReplicaReading & {
  readonly changed: readonly ReplicaEntry[];
  /** Ids that are no longer listed. */
  readonly gone: readonly string[];
};

/**
 * The platform's store; each call rejects if the response is missing or
 * invalid.
 */
export type Store = {
  readReplicas(signal: AbortSignal): Promise<StoreListing>;
  /**
   * Long poll: resolves with the changes of the listing since `from`, after
   * `waitMs` at the latest. Resolves with undefined if the store's history no
   * longer contains `from`.
   */
  watchReplicas(
    from: StorePosition,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreChanges | undefined>;
  /** Reads the configuration. */
  readConfig(signal: AbortSignal): Promise<ConfigReading>;
  /**
   * Long poll: resolves once the configuration may have changed since `from`.
   */
  watchConfig(
    from: StorePosition,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<ConfigReading>;
  /** Reads the gateway's own rows of a table. */
  readRows(table: string, signal: AbortSignal): Promise<RowReading>;
  /** Writes a row; rejects if it is unknown whether the write was applied. */
  writeRow(write: RowWrite, signal: AbortSignal): Promise<RowWriteResult>;
  /** Removes a row; rejects as {@link writeRow}. */
  removeRow(removal: RowRemoval, signal: AbortSignal): Promise<RowWriteResult>;
};

/** A row that the gateway itself maintains. */
export type StoreRow = {
  readonly key: string;
  readonly value: string;
  /** Increases with each write to the store. */
  readonly revision: number;
};

/** A consistent snapshot of rows. */
export type RowReading = {
  readonly rows: readonly StoreRow[];
  /** Time by the store's monotonic clock. */
  readonly nowMs: Milliseconds;
  /** As in {@link StorePosition}. */
  readonly era?: number;
};

/** A write of one row. */
export type RowWrite = {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  /** Precondition: the row's revision; 0: the row does not exist. */
  readonly ifRevision?: number;
};

/** The removal of one row, under a precondition as in {@link RowWrite}. */
export type RowRemoval = Pick<RowWrite, "table" | "key" | "ifRevision">;

/** Result of a write. */
export type RowWriteResult =
  | {
    readonly type: "written";
    readonly revision: number;
    readonly nowMs: Milliseconds;
    /** As in {@link StorePosition}. */
    readonly era?: number;
  }
  /** The precondition failed; nothing was written. */
  | { readonly type: "conflict" };

/** The store's response to a read of the configuration. */
export type ConfigReading = {
  /** Position to watch from; undefined: history was lost, read it again. */
  readonly position?: StorePosition;
  /** Absent if it has not changed or does not exist. */
  readonly config?: RouteConfig;
};

/** What a platform adapter provides. */
export type PlatformPort = {
  readonly dialect: Dialect;
  readonly store: Store;
};
