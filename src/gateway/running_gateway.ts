/** What a program can do with a gateway. */
import type { GatewaySettings } from "../settings/gateway.ts";

/** A gateway that serves callers. */
export type RunningGateway = {
  /** Fails the readiness check, finishes open requests, then resolves. */
  stop(): Promise<void>;
  /** Applies changed settings; changed addresses apply after a restart. */
  reload(settings: GatewaySettings, cause: string): void;
  /** Records that changed settings are invalid. */
  noteFault(fault: string): void;
  /** Records an error that nothing has caught. */
  noteUnexpectedError(error: unknown, origin: string): void;
};

/** A gateway that may not listen yet; it can be stopped and reloaded. */
export type CreatedGateway = RunningGateway & {
  /** Starts to serve; resolves once callers, peers and readiness listen. */
  listen(): Promise<void>;
};
