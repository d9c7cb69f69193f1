/**
 * What the gateway needs of the platform it runs on. An adapter translates
 * between these words and the platform's; it decides nothing.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Milliseconds } from "../util/units.ts";
import type { RouteConfig } from "./routing/model.ts";
import type { StorePlace } from "./position.ts";
import type { ReplicaEntry, ReplicaStage } from "./replicas/model.ts";
import type { ReplicaNotice } from "./replicas/notice.ts";

/** What a request's head says of it. */
export type RequestFacts = {
  /** The caller's name for this attempt. */
  readonly id?: string;
  /** How long the caller will wait. */
  readonly patienceMs?: Milliseconds;
  /** Longest time to come back that the caller heeds when it is refused. */
  readonly longestRetryMs?: Milliseconds;
  /** 0 when the head names no prompt. */
  readonly promptTokens: number;
  /** Names the prompt: an attempt of the same request names the same. */
  readonly promptKey?: string;
  /** Most tokens to be made. */
  readonly outputLimit: number;
  /** The caller's guess of the tokens to be made. */
  readonly outputHint?: number;
  /** The caller has the events up to this one. */
  readonly lastEventId?: string;
  /** SHA-256, in hex, of the key that says for which customer it comes. */
  readonly keyDigest?: string;
};

/** What a call to a replica does with the request. */
export const CallMode = {
  /** Runs it whole. */
  whole: "whole",
  /** Reads the prompt only. */
  prefill: "prefill",
} as const;
/** One of the values of {@link CallMode}. */
export type CallMode = typeof CallMode[keyof typeof CallMode];

/** What the gateway adds to a request that it sends on. */
export type CallHead = {
  readonly mode: CallMode;
  /** The replica that may take it: another at its address does not. */
  readonly replica: string;
  /** Rank at a model engine's own queue; 0 is the most urgent. */
  readonly priority?: number;
  /** Time left for the answer; absent when the caller named none. */
  readonly patienceMs?: Milliseconds;
  /** The finished prefill to go on from, and the address that keeps it. */
  readonly export?: { readonly address: string; readonly id: string };
  /** Memory reserved for it. */
  readonly reservation?: string;
  /** Events up to this one are not wanted. */
  readonly lastEventId?: string;
  /** The customer that the request comes from. */
  readonly customer?: string;
};

/** What the head of a replica's answer says. */
export type AnswerFacts = ReplicaNotice & {
  /** The request that it belongs to. */
  readonly id?: string;
  /** The replica says that the request did not run. */
  readonly notRun: boolean;
  /** Another replica has the address. */
  readonly misdirected: boolean;
};

/** A call without a caller's request behind it. */
export type SmallCall = {
  readonly method: "POST" | "DELETE" | "GET";
  readonly path: string;
  /** JSON. */
  readonly body?: string;
};

/** What a model engine tells of itself. */
export type EngineReport = {
  readonly stage: ReplicaStage;
  /** Orders that it has taken. */
  readonly orders: number;
  /** An order is under way. */
  readonly changing: boolean;
};

/** A change of stage, under a lease. */
export type StageOrder = {
  /** The replica's id. */
  readonly replica: string;
  readonly stage: ReplicaStage;
  readonly holder: string;
  readonly fence: number;
  /** Only if it has taken so many orders. */
  readonly ifOrders: number;
};

/** A small call that names the only start of the replica that may take it. */
export type OrderCall = SmallCall & { readonly headers: readonly string[] };

/** How a model engine took an order. */
export const OrderOutcome = {
  taken: "taken",
  /** A higher fence was seen there. */
  fenced: "fenced",
  /** Another order is under way, or the replica is not as expected. */
  refused: "refused",
} as const;
/** One of the values of {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** How requests and replicas' calls look on the wire. */
export type Dialect = {
  /** Reads the head of a caller's request. */
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Headers to send on; names and values by turns, end to end only. */
  callHeaders(rawHeaders: readonly string[], head: CallHead): string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
  /** The id under which a finished prefill is kept. */
  readExport(body: string): string | undefined;
  reserve(tokens: number, lifeMs: Milliseconds): SmallCall;
  /** The reservation's id. */
  readReservation(body: string): string | undefined;
  dropReservation(id: string): SmallCall;
  dropExport(id: string): SmallCall;
  /** Asks a model engine how it is. */
  readonly report: SmallCall;
  readReport(body: string): EngineReport | undefined;
  /** Orders a change of stage. */
  orderStage(order: StageOrder): OrderCall;
  /** How an order was taken. */
  readOrder(status: number): OrderOutcome;
  /** Headers, in lower case, that a `Connection` header can't take out. */
  readonly endToEndHeaders: ReadonlySet<string>;
  /** Header, in lower case, with a customer's key. */
  readonly keyHeader: string;
  /** Header with the seconds after which a refused caller may come back. */
  readonly retryAfterHeader: string;
};

/** Another host of the system, as listed in the store. */
export type HostEntry = {
  readonly id: string;
  /** Where peers reach it. */
  readonly address: string;
  readonly hall: string;
};

/** A row that can't be read and names nothing. */
export type RowFault = { readonly key: string; readonly reason: string };

/** What the store told of replicas, as of a place of its history. */
type ReplicaReading = StorePlace & {
  /** The store's steady clock. */
  readonly nowMs: Milliseconds;
  readonly faults?: readonly RowFault[];
};
/** All replicas. */
export type StoreListing = ReplicaReading & {
  readonly entries: readonly ReplicaEntry[];
};
/** What changed in the listing after a place. */
export type StoreChanges = ReplicaReading & {
  readonly changed: readonly ReplicaEntry[];
  /** Ids that are listed no more. */
  readonly gone: readonly string[];
};

/** The platform's store; each call rejects when no good answer comes. */
export type Store = {
  readReplicas(signal: AbortSignal): Promise<StoreListing>;
  /**
   * Resolves with what changed in the listing after `from`, at the latest after
   * `waitMs`; undefined: the store can't tell, since it has forgotten that place
   * or its history is another one by now.
   */
  watchReplicas(
    from: StorePlace,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreChanges | undefined>;
  /** The configuration, undefined while there is none. */
  readConfig(signal: AbortSignal): Promise<ConfigReading>;
  /** Resolves when the configuration may have changed after `from`. */
  watchConfig(
    from: StorePlace,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<ConfigReading>;
  /** The system's own rows of a table. */
  readRows(table: string, signal: AbortSignal): Promise<RowReading>;
  /** Writes a row; rejects when nobody can tell whether it was written. */
  writeRow(write: RowWrite, signal: AbortSignal): Promise<RowWritten>;
};

/** A row of the system's own. */
export type StoreRow = {
  readonly key: string;
  readonly value: string;
  /** Rises with each write of the store. */
  readonly revision: number;
};

/** Rows as of one moment. */
export type RowReading = {
  readonly rows: readonly StoreRow[];
  /** The store's steady clock. */
  readonly nowMs: Milliseconds;
  /** As in {@link StorePlace}. */
  readonly era?: number;
};

/** A row to be written. */
export type RowWrite = {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  /** Only if the row has this revision; 0: only if there is none. */
  readonly ifRevision?: number;
};

/** How a write went. */
export type RowWritten =
  | {
    readonly type: "written";
    readonly revision: number;
    readonly nowMs: Milliseconds;
    /** As in {@link StorePlace}. */
    readonly era?: number;
  }
  /** The row had another revision; nothing was written. */
  | { readonly type: "conflict" };

/** What the store says of the configuration. */
export type ConfigReading = {
  /** Where to watch on from; undefined: history is lost, read it whole. */
  readonly place?: StorePlace;
  /** Absent when it has not changed, or there is none. */
  readonly config?: RouteConfig;
};

/** All that an adapter gives. */
export type PlatformPort = {
  readonly dialect: Dialect;
  readonly store: Store;
};
