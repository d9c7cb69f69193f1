/** Plain replicas, each a process of its own. */
import { fork } from "node:child_process";
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { connect } from "node:net";
import { fileURLToPath } from "node:url";

/** Length of each answer. */
export const ANSWER_BYTES = 4000;
const PROGRAM = fileURLToPath(new URL("plain_process.js", import.meta.url));
/** More than the queue of new connections takes. */
const WAITING_CONNECTIONS = 4;

export class PlainReplica {
  #child;
  #options;
  #onStalled = () => {};

  constructor(options) {
    this.#options = options;
    this.id = `i-${randomBytes(4).toString("hex")}`;
  }

  async start() {
    const { record, onRun } = this.#options;
    this.#child = fork(PROGRAM, [this.id]);
    process.on("exit", () => this.stop());
    const [{ address }] = await once(this.#child, "message");
    this.address = address;
    this.#child.on("message", ({ type, id }) => {
      if (type === "stalls") return this.#onStalled();
      record.note(type === "runs" ? "runs" : "whole answer sent", {
        id,
        replica: this.id,
      });
      if (type === "runs") onRun?.(id, this);
    });
  }

  entry(sequence) {
    const { service, zone } = this.#options;
    return {
      Service: service,
      Address: this.address,
      Zone: zone,
      Version: "v1",
      Slots: 6,
      State: "ready",
      ColdRemainingMs: 0,
      Sequence: sequence,
    };
  }

  /** The replica stands still while new connections come. */
  async stall(stallMs) {
    const isStalled = new Promise((resolve) => this.#onStalled = resolve);
    this.#child.send({ stallMs });
    await isStalled;
    const [host, port] = this.address.split(":");
    const sockets = Array.from(
      { length: WAITING_CONNECTIONS },
      () => connect(Number(port), host),
    );
    for (const socket of sockets) socket.on("error", () => undefined);
    setTimeout(() => sockets.forEach((socket) => socket.destroy()), stallMs);
  }

  stop() {
    this.#child.kill("SIGKILL");
  }
}
