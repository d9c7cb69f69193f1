/**
 * Limits the processor time of processes by signals, as a quota of the operating
 * system does: a process that has used its share of a period stands still for
 * the rest of it.
 */
import { Worker } from "node:worker_threads";

/** The processes that a limit applies to. */
export type LimitedProcess = {
  readonly pid: number;
  /** Share of one core. */
  readonly share: number;
};

/** Limits processes until it is ended. */
export class ProcessorLimit {
  readonly #worker: Worker;
  readonly #hasExited: Promise<void>;

  constructor(processes: readonly LimitedProcess[]) {
    const program = new URL("./processor_limit_worker.js", import.meta.url);
    // A thread of its own: the test's loop is busy with replicas and callers.
    this.#worker = new Worker(program, { workerData: processes });
    this.#hasExited = new Promise((resolve) => {
      this.#worker.once("exit", () => resolve());
    });
  }

  /** Resolves when all processes run freely again. */
  async end(): Promise<void> {
    this.#worker.postMessage("end");
    await this.#hasExited;
  }
}
