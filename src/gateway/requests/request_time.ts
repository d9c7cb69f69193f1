/** The time that one request takes, and whether a stopping host has it. */
import type { GatewayContext } from "../context.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayRequest } from "./request.ts";
import type { OpenRun } from "./run_times.ts";
import type { SendResult } from "./sender.ts";
import type { StopCheck, TimedRequest, TimeShortage } from "./stop_check.ts";

/** Options of {@link RequestTime}. */
export type RequestTimeOptions = {
  readonly context: Pick<GatewayContext, "clock">;
  /** Received to its end at the moment. */
  readonly request: GatewayRequest;
  readonly stopCheck: StopCheck;
};

/** Measures the runs of a request and compares them with the time left. */
export class RequestTime {
  readonly #stopCheck: StopCheck;
  readonly #timed: TimedRequest;
  readonly #now: () => Milliseconds;
  #run: OpenRun | undefined;

  constructor({ context, request, stopCheck }: RequestTimeOptions) {
    this.#stopCheck = stopCheck;
    this.#now = () => context.clock.now();
    const { route, service, deadline } = request;
    this.#timed = { route, service, deadline, wholeAt: this.#now() };
  }

  /** Why this host stops too soon for a run; undefined: it does not. */
  get shortage(): TimeShortage | undefined {
    return this.#stopCheck.shortageOf(this.#timed);
  }

  /** Records a send; one before it has not been answered. */
  noteSent(): void {
    this.noteEnded();
    const { service, route } = this.#timed;
    const key = { service, route: route.name };
    this.#run = this.#stopCheck.runs.start(key, this.#now());
  }

  /** Records what came of the last send; waiting for the next one is no run. */
  noteResult(type: SendResult["type"]): void {
    if (type === "unknown") this.noteEnded();
    else if (type !== "answer") this.#run?.cancelled();
  }

  /** Records that the last send was answered. */
  noteAnswered(): void {
    this.#run?.completed(this.#now());
  }

  /** Records the end of the last send, if it was not answered. */
  noteEnded(): void {
    this.#run?.dropped(this.#now());
  }
}
