/** Looks whether something listens at an address. */
import { connect } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import { parseAddress } from "../../util/address.ts";
import type { Clock } from "../clock.ts";

/** What a connection attempt has shown. */
export type ProbeResult =
  | "listens"
  /** The host answers, and nothing listens there. */
  | "refused"
  /** No answer in time, or no way there: it tells nothing. */
  | "silent";

/** Opens a connection, sends nothing and closes it. */
export function probeAddress(
  address: string,
  { clock, timeoutMs }: {
    readonly clock: Clock;
    readonly timeoutMs: Milliseconds;
  },
): Promise<ProbeResult> {
  const place = parseAddress(address);
  if (!place) return Promise.resolve("silent");
  return new Promise((resolve) => {
    const socket = connect({ host: place.host, port: place.port });
    const end = (result: ProbeResult) => {
      cancel();
      socket.destroy();
      resolve(result);
    };
    const cancel = clock.after(timeoutMs, () => end("silent"));
    socket.on("connect", () => end("listens"));
    socket.on("error", (error) => {
      end(isRefusal(error) ? "refused" : "silent");
    });
  });
}

/** Whether the error says that nothing listens at the address. */
export function isRefusal(error: Error): boolean {
  return "code" in error && error.code === "ECONNREFUSED";
}
