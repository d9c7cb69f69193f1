/**
 * A gateway that throws, and rejects a promise, outside of all handlers when it
 * connects to a replica.
 */
import { handleSignals } from "../../src/gateway/early_signals.ts";

const signals = handleSignals();
const { start } = await import("../../platform/start.ts");
const { tcpConnect } = await import("../../src/gateway/upstreams/connect.ts");
await start(signals, (options) => {
  setImmediate(() => {
    throw new Error("thrown outside of handlers");
  });
  void Promise.reject(new Error("rejected outside of handlers"));
  return tcpConnect(options);
});
