/** Probes whether a process listens at an address. */
import type { Milliseconds } from "../../util/units.ts";
import { parseAddress } from "../../util/address.ts";
import type { Clock } from "../clock.ts";
import { type Connect, tcpConnect } from "./connect.ts";

/** Result of a connection attempt. */
export type ProbeResult =
  | "listens"
  /** The machine responded that nothing listens at the port. */
  | "refused"
  /** No response in time, or no route: whether it listens is unknown. */
  | "silent";

/** Opens a connection, sends nothing and closes it. */
export function probeAddress(
  address: string,
  { clock, timeoutMs, connect = tcpConnect }: {
    readonly clock: Clock;
    readonly timeoutMs: Milliseconds;
    readonly connect?: Connect;
  },
): Promise<ProbeResult> {
  const target = parseAddress(address);
  if (!target) return Promise.resolve("silent");
  return new Promise((resolve) => {
    const socket = connect({ host: target.host, port: target.port });
    const finish = (result: ProbeResult) => {
      cancel();
      socket.destroy();
      resolve(result);
    };
    const cancel = clock.after(timeoutMs, () => finish("silent"));
    socket.on("connect", () => finish("listens"));
    socket.on("error", (error) => {
      finish(isRefusal(error) ? "refused" : "silent");
    });
  });
}

/** Whether the error means that the connection was refused. */
export function isRefusal(error: Error): boolean {
  return "code" in error && error.code === "ECONNREFUSED";
}
