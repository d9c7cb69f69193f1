/** One gateway as a process that faults strike from outside, by signals. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Children that run now: they end with this process, however it ends. */
const running = new Set<ChildProcess>();
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** How a process came to its end. */
export type Exit = {
  readonly code: number | null;
  readonly signal: string | null;
  /** It was killed or told to stop. */
  readonly isAsked: boolean;
};

/** What a process is started with. */
export type GatewaySource = {
  readonly name: string;
  readonly folder: string;
  readonly settings: string;
};

/** A gateway that is started again after each end. */
export class GatewayProcess {
  readonly name: string;
  readonly exits: Exit[] = [];
  readonly #file: string;
  readonly #log: string;
  #child: ChildProcess | undefined;
  #isAsked = false;
  #isPaused = false;
  #hasLogged = false;
  #life = 0;

  constructor(source: GatewaySource) {
    this.name = source.name;
    this.#file = join(source.folder, `${source.name}.toml`);
    this.#log = join(source.folder, `${source.name}.log`);
    writeFileSync(this.#file, source.settings);
  }

  /** Counts the runs of this process. */
  get life(): number {
    return this.#life;
  }

  /** It was neither paused nor is it gone. */
  get isRunning(): boolean {
    return this.#child !== undefined && !this.#isPaused;
  }

  /** Starts it; its log lines go to a file. */
  start(): void {
    if (this.#child) return;
    this.#life += 1;
    this.#isAsked = false;
    this.#hasLogged = false;
    const child = spawn(process.execPath, ["dist/platform/main.js"], {
      env: { ...process.env, OTTERHILL_CONFIG: this.#file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.#log, { flags: "a" });
    child.stdout.once("data", () => this.#hasLogged = true);
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
    running.add(child);
    child.on("exit", (code, signal) => {
      this.exits.push({ code, signal, isAsked: this.#isAsked });
      running.delete(child);
      this.#child = undefined;
      this.#isPaused = false;
    });
  }

  /** Kills it; resolves at its end. It does not start again by itself. */
  kill(): Promise<void> {
    return this.#end("SIGKILL");
  }

  /** Tells it to stop; resolves at its end. */
  stop(): Promise<void> {
    return this.#end("SIGTERM");
  }

  async #end(signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    const child = this.#child;
    if (!child) return;
    this.#isAsked = true;
    const ended = once(child, "exit");
    child.kill(signal);
    await ended;
  }

  /**
   * It reads its settings again. Before Node.js runs the first line of a
   * program a SIGHUP ends it, and nothing in the program can prevent that
   * (docs/FINDINGS.md); so the signal waits for the first line of its log.
   */
  reload(): void {
    const child = this.#child;
    if (!child) return;
    if (this.#hasLogged) child.kill("SIGHUP");
    else child.stdout?.once("data", () => child.kill("SIGHUP"));
  }

  /** It stands still. */
  pause(): void {
    this.#isPaused = this.#child?.kill("SIGSTOP") ?? false;
  }

  /** It goes on. */
  resume(): void {
    this.#child?.kill("SIGCONT");
    this.#isPaused = false;
  }
}
