/** Callers of resumable streams, and the check of ORDER over what they got. */
import { writeFileSync } from "node:fs";
import { callStream } from "./calls.js";
import { sleep } from "./world.js";

/** Tokens of a prompt and of an answer; an event holds one token. */
const TOKENS = [600, 68];
const DEADLINE_MS = 14_000;
const MAX_ATTEMPTS = 3;
/** ORDER is broken by more streams than this. */
const ALLOWED_STREAMS = 2;

/** Callers that send streams one after the other, and take up broken ones. */
export class StreamCallers {
  #world;
  #isStopped = false;
  #callers = [];
  streams = [];

  constructor(world, count) {
    this.#world = world;
    this.#callers = Array.from({ length: count }, (_, at) => this.#run(at));
  }

  async stop() {
    this.#isStopped = true;
    await Promise.all(this.#callers);
  }

  async #run(at) {
    await sleep(at * 90);
    for (let count = 0; !this.#isStopped; count++) {
      const stream = { name: `s-${at}-${count}`, events: [], attempts: [] };
      this.streams.push(stream);
      await this.#serve(stream, at + count);
      await sleep(50);
    }
  }

  async #serve(stream, first) {
    const { gateways } = this.#world;
    const deadline = Date.now() + DEADLINE_MS;
    let began;
    for (let at = 0; at < MAX_ATTEMPTS && Date.now() < deadline; at++) {
      const gateway = gateways[(first + at) % gateways.length];
      const attempt = `${stream.name}-${at}`;
      const { status, isWhole, retryAfter = 0 } = await callStream(gateway, {
        attempt,
        body: stream.name,
        tokens: TOKENS,
        deadlineMs: deadline - Date.now(),
        lastEventId: stream.events.at(-1)?.id,
        resumes: began,
        onEvent: (event) => {
          began ??= attempt;
          stream.events.push(event);
        },
      });
      const { name } = gateway;
      stream.attempts.push({ attempt, gateway: name, status, isWhole });
      if (status === 200 && isWhole) return;
      await sleep(Math.max(100, 1000 * retryAfter));
    }
  }
}

/** Versions that wrote a stream's events, in order, each once in a row. */
function versionsOf({ events }) {
  return events.map(({ data }) => data.version).filter((version, at, all) =>
    at === 0 || version !== all[at - 1]
  );
}

/**
 * Writes the record of a case; returns its exit code: 1 if more streams than
 * the rule allows hold events of two software versions, 2 if it says nothing.
 */
export function judgeOrder(world, streams, { file, trouble }) {
  const mixed = streams.filter((stream) => versionsOf(stream).length > 1);
  const whole = streams.filter(({ attempts }) =>
    attempts.some(({ status, isWhole }) => status === 200 && isWhole)
  );
  const summary = [
    `trouble: ${trouble}`,
    `streams: ${streams.length}, whole: ${whole.length}`,
    "streams with events of two software versions: " +
    `${mixed.length}, allowed: ${ALLOWED_STREAMS}`,
  ];
  const lines = [
    ...summary,
    "",
    "platform and replicas, in ms from the start:",
    ...world.records.map((line) => JSON.stringify(line)),
    "",
    "callers:",
    ...streams.map((stream) =>
      JSON.stringify({
        stream: stream.name,
        events: stream.events.length,
        versions: versionsOf(stream),
        attempts: stream.attempts,
      })
    ),
  ];
  writeFileSync(file, `${lines.join("\n")}\n`);
  console.log(summary.join("\n"));
  if (whole.length < streams.length / 2) return 2;
  return mixed.length > ALLOWED_STREAMS ? 1 : 0;
}

/** A case ends within 120 s. */
const MAX_RUN_MS = 115_000;
const NOT_RUN = 2;

/** Runs a case in a world that it ends; returns the exit code. */
export async function runCase(startWorld, play) {
  const abort = (reason) => {
    console.error("The case could not run:", reason);
    process.exit(NOT_RUN);
  };
  for (const event of ["uncaughtException", "SIGINT", "SIGTERM"]) {
    process.on(event, abort);
  }
  setTimeout(() => abort("it took too long"), MAX_RUN_MS).unref();
  const world = await startWorld();
  try {
    if (!await world.isReady(20_000)) throw new Error("A gateway isn't ready");
    return await play(world);
  } catch (error) {
    console.error(error);
    return NOT_RUN;
  } finally {
    await world.stop();
  }
}
