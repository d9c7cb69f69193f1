/** A caller's request as the gateway holds it, and the way to its caller. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayError } from "../answers.ts";
import type { RequestFacts } from "../port.ts";
import type { Customer } from "../customers/model.ts";
import type { Route } from "../routing/model.ts";

/** A request that was read whole and has a route. */
export type GatewayRequest = {
  readonly method: string;
  readonly target: string;
  /** Name and value by turns; those of the connection are left out. */
  readonly rawHeaders: readonly string[];
  readonly facts: RequestFacts;
  readonly body: Buffer;
  /** The same for each try of the same request, at any host. */
  readonly fingerprint: () => string;
  readonly route: Route;
  readonly service: string;
  /** Absent where no key is asked for. */
  readonly customer?: Customer;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly receivedAt: Milliseconds;
  /** It is answered, or ended, by then. */
  readonly limitAt: Milliseconds;
};

/** The answer on its way to the caller. */
export type Reply = {
  /** Passes on the head of a replica's answer. */
  head(status: number, rawHeaders: readonly string[]): void;
  /** False: wait for `drained` before the next. */
  write(bytes: Buffer): boolean;
  drained(): Promise<void>;
  end(): void;
  /** An answer of the gateway's own. */
  fail(error: GatewayError, retryAfterSeconds?: number): void;
  /** Ends a started answer so that it does not look complete. */
  breakOff(): void;
};
