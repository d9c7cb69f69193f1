/** What the core tells the shell to do: one tagged union. */
import type { ErrorKind, Ran } from "./errors.ts";
import type { AttemptId, RequestId } from "./request_ids.ts";
import type { HostId, UpstreamId } from "../util/ids.ts";
import type { PeerMessage } from "../messages/peer.ts";

/** One conditional change in a table write. */
export type TableChange = {
  readonly key: string;
  /** Null removes the row; absent: the row is only checked. */
  readonly value?: string | null;
  /** 0: the row must not exist; absent: no condition. */
  readonly ifRevision?: number;
  /** The row's value must be this one. */
  readonly ifValue?: string;
};

/** How a finished request went, for histograms and the burn report. */
export type Observation = {
  readonly type: "observe";
  readonly customer: string;
  readonly service: string;
  readonly firstTokenMs?: number;
  /** Mean time between tokens. */
  readonly betweenTokensMs?: number;
  readonly good: boolean;
  readonly error?: ErrorKind;
};

/** One line of a part's log. */
export type LogLine = {
  readonly type: "log";
  readonly part: string;
  readonly sentence: string;
  readonly request?: RequestId;
  readonly fields?: Readonly<Record<string, string | number | boolean>>;
};

/** Everything that the core can ask for. */
export type Order =
  | {
    readonly type: "replyChunk";
    readonly request: RequestId;
    readonly text: string;
    readonly tokens: number;
  }
  | {
    readonly type: "replyEnd";
    readonly request: RequestId;
    readonly finish: string;
    readonly tokens: number;
  }
  | {
    readonly type: "replyPlain";
    readonly request: RequestId;
    readonly status: number;
    readonly body: string;
  }
  | {
    readonly type: "replyError";
    readonly request: RequestId;
    readonly error: ErrorKind;
    readonly ran: Ran;
    readonly retryAfterSeconds?: number;
  }
  | {
    readonly type: "prefill";
    readonly attempt: AttemptId;
    readonly request: RequestId;
    readonly upstream: UpstreamId;
    readonly path: string;
    readonly body: string;
    readonly priority: number;
  }
  | {
    readonly type: "decode";
    readonly attempt: AttemptId;
    readonly request: RequestId;
    readonly upstream: UpstreamId;
    readonly path: string;
    readonly body: string;
    readonly priority: number;
    /** Absent: the decode upstream does the prefill itself. */
    readonly transfer?: string;
  }
  | {
    readonly type: "resume";
    readonly attempt: AttemptId;
    readonly upstream: UpstreamId;
    /** Tokens that the caller already has. */
    readonly after: number;
  }
  | {
    readonly type: "callPlain";
    readonly attempt: AttemptId;
    readonly request: RequestId;
    readonly upstream: UpstreamId;
    readonly path: string;
    readonly body: string;
  }
  | {
    readonly type: "cancel";
    readonly attempt: AttemptId;
    readonly upstream: UpstreamId;
  }
  | {
    readonly type: "turnRole";
    readonly upstream: UpstreamId;
    readonly role: string;
    readonly fence: number;
    /** Not to be sent later than this, by the core's clock. */
    readonly sendBefore: number;
  }
  | { readonly type: "readLoad"; readonly upstream: UpstreamId }
  | {
    readonly type: "readCache";
    readonly upstream: UpstreamId;
    readonly after: number;
  }
  | { readonly type: "readHeld"; readonly upstream: UpstreamId }
  | {
    readonly type: "tell";
    readonly to: HostId;
    readonly message: PeerMessage;
  }
  | { readonly type: "readHosts" }
  | {
    readonly type: "readTable";
    readonly call: number;
    readonly prefix: string;
    /** Only rows changed after this revision. */
    readonly after: number;
  }
  | {
    readonly type: "writeTable";
    readonly call: number;
    readonly changes: readonly TableChange[];
  }
  | Observation
  | LogLine
  /** Nothing is left to do; the process may end. */
  | { readonly type: "stopped" };
