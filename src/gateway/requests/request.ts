/** A caller's request, and the reply to the caller. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayError } from "../answers.ts";
import type { Fingerprints } from "../crashes/fingerprint.ts";
import type { RequestMetadata } from "../port.ts";
import type { Customer } from "../customers/model.ts";
import type { Route } from "../routing/model.ts";
import type { Framing } from "../upstreams/framing.ts";

/** A request with its complete body and its route. */
export type GatewayRequest = {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly rawHeaders: readonly string[];
  readonly facts: RequestMetadata;
  readonly body: Buffer;
  readonly fingerprints: Fingerprints;
  readonly route: Route;
  readonly service: string;
  /** Absent on routes that require no key. */
  readonly customer?: Customer;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly receivedAt: Milliseconds;
  /** By how much the event loop was late when the request was read. */
  readonly loopDelayMs: Milliseconds;
  /** The gateway ends the request at this time if no response is complete. */
  readonly deadline: Milliseconds;
};

/** The head of a replica's response. */
export type ResponseHead = {
  readonly status: number;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly framing: Framing;
};

/** Writes the response to the caller. */
export type Reply = {
  /**
   * Sends the status and the headers of a response. The body is sent without
   * framing only to callers who know no chunks and if its length is unknown.
   */
  writeHead(head: ResponseHead): void;
  /** Returns false if `drained` should be awaited before writing more. */
  write(bytes: Buffer): boolean;
  drained(): Promise<void>;
  end(): void;
  /** Whether the response has been ended or aborted. */
  hasEnded(): boolean;
  /** Sends an error response of the gateway. */
  fail(error: GatewayError, retryAfterSeconds?: number): void;
  /** Aborts a started response so that the caller can tell it is incomplete. */
  abort(): void;
};
