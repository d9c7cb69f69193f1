/** A process with a faulty replica and the callers of its service. */
import { fork } from "node:child_process";
import { once } from "node:events";
import type { Endless, FaultyCalls } from "./endless_replies.ts";

const MAIN = "dist/test/soak/faulty_side_main.js";

/** A message to the process. */
export type FaultySideMessage =
  | { readonly type: "start"; readonly endless: Endless }
  | {
    readonly type: "call";
    /** Address of the host. */
    readonly address: string;
    readonly calls: FaultyCalls;
  };

/** The running process. */
export type FaultySide = {
  /** Address of the replica. */
  readonly replica: string;
  call(address: string, calls: FaultyCalls): void;
  stop(): void;
};

/** Starts the process; resolves when its replica listens. */
export async function startFaultySide(endless: Endless): Promise<FaultySide> {
  const child = fork(MAIN);
  const send = (message: FaultySideMessage) => void child.send(message);
  process.once("exit", () => child.kill("SIGKILL"));
  const started = once(child, "message") as Promise<[string]>;
  send({ type: "start", endless });
  const [replica] = await started;
  return {
    replica,
    call: (address, calls) => send({ type: "call", address, calls }),
    stop: () => void child.kill("SIGKILL"),
  };
}
