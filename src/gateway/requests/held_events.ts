/** Holds the events of a stream back from its caller until they may be sent. */
import type { CompleteEvents } from "./event_splitter.ts";

/**
 * Events up to this size are read while they are held, so that the times at which
 * they arrive are known.
 */
const MAX_HELD_BYTES = 256 * 1024;

/** Options of {@link HeldEvents}. */
export type HeldEventsOptions = {
  /** False: the caller must not receive any of them. */
  readonly mayForward: Promise<boolean>;
  readonly source: { pause(): void; resume(): void; destroy(): void };
  /** Called once, before the first event is forwarded. */
  readonly onOpen: () => void;
  readonly forward: (events: CompleteEvents) => void;
};

/** Forwards events in order, none of them before they may be forwarded. */
export class HeldEvents {
  /** Resolves to whether events may be forwarded, once that is known. */
  readonly opened: Promise<boolean>;
  readonly #options: HeldEventsOptions;
  #held: CompleteEvents[] = [];
  #heldBytes = 0;
  #state: "held" | "open" | "dropped" | "withheld" = "held";

  constructor(options: HeldEventsOptions) {
    this.#options = options;
    this.opened = this.#open();
  }

  /** Forwards events, or holds them. */
  push(events: CompleteEvents): void {
    const { forward, source } = this.#options;
    if (this.#state === "open") return forward(events);
    if (this.#state !== "held") return;
    this.#held.push(events);
    this.#heldBytes += events.bytes.length;
    if (this.#heldBytes > MAX_HELD_BYTES) source.pause();
  }

  /** Whether it is known that the caller must not receive the stream. */
  get isWithheld(): boolean {
    return this.#state === "withheld";
  }

  /** Drops the events that are held; later ones are not forwarded, either. */
  drop(): void {
    if (this.#state === "held") this.#state = "dropped";
    this.#held = [];
  }

  async #open(): Promise<boolean> {
    const { mayForward, source, onOpen, forward } = this.#options;
    const isAllowed = await mayForward;
    if (this.#state !== "held") return isAllowed;
    if (!isAllowed) {
      this.#state = "withheld";
      this.#held = [];
      source.destroy();
      return false;
    }
    this.#state = "open";
    onOpen();
    // The caller may hold up the stream in turn, so this comes first.
    if (this.#heldBytes > MAX_HELD_BYTES) source.resume();
    for (const events of this.#held.splice(0)) forward(events);
    return true;
  }
}
