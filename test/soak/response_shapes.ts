/** Draws how the replicas of a soak send their responses. */
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import {
  ConnectionEnd,
  Framing,
  type ResponseCut,
  type ResponseShape,
} from "../platform/response_standin.ts";
import { EVENT_END } from "../platform/stream_standin.ts";

/** How the responses of a run are framed. */
export type FramingLoad = {
  readonly seed: number;
  /** Percentage of the responses that end with their connection. */
  readonly unframedPercent: number;
};

/** All responses are sent in chunks. */
export const CHUNKED_LOAD: FramingLoad = { seed: 1, unframedPercent: 0 };

const FRAMINGS = Object.values(Framing);
/** One response in this many of a replica that cuts responses is cut. */
const CUT_ONE_IN = 3;
/** One cut in this many ends behind an event. */
const EVENT_END_ONE_IN = 3;
const RESET_ONE_IN = 3;

/** Draws the shapes of responses from a seed. */
export class ResponseShapes {
  readonly #random: RandomGenerator;
  readonly #unframedPercent: number;
  /** Replicas that cut responses, once for each fault. */
  readonly #cutting: string[] = [];

  constructor({ seed, unframedPercent }: FramingLoad) {
    this.#random = xoroshiro128plus(seed);
    this.#unframedPercent = unframedPercent;
  }

  /** Lets replicas cut responses until the result is called. */
  cutResponses(replicas: readonly string[]): () => void {
    this.#cutting.push(...replicas);
    return () => {
      for (const replica of replicas) {
        this.#cutting.splice(this.#cutting.indexOf(replica), 1);
      }
    };
  }

  /** Draws the shape of a replica's next response. */
  next(replica: string): ResponseShape {
    const isCloseOmitted = this.#isOneIn(2);
    const isCut = this.#cutting.includes(replica) && this.#isOneIn(CUT_ONE_IN);
    if (isCut) {
      const framing = FRAMINGS[randomInt(this.#random, FRAMINGS.length)];
      const cut = this.#drawCut();
      return { framing: framing ?? Framing.none, isCloseOmitted, cut };
    }
    if (randomInt(this.#random, 100) < this.#unframedPercent) {
      return { framing: Framing.none, isCloseOmitted };
    }
    return { framing: Framing.chunks };
  }

  #drawCut(): ResponseCut {
    const end = this.#isOneIn(RESET_ONE_IN)
      ? ConnectionEnd.reset
      : ConnectionEnd.fin;
    const isAtEventEnd = this.#isOneIn(EVENT_END_ONE_IN);
    return {
      end,
      position: (body) => {
        const at = randomInt(this.#random, Math.max(1, body.length));
        return isAtEventEnd ? eventEndBefore(body, at) : at;
      },
    };
  }

  #isOneIn(count: number): boolean {
    return randomInt(this.#random, count) === 0;
  }
}

/** The end of the last event that ends at or before a position. */
function eventEndBefore(body: string, at: number): number {
  const found = body.slice(0, at).lastIndexOf(EVENT_END);
  return found === -1 ? 0 : found + EVENT_END.length;
}
