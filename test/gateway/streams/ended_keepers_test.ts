/** Guards against guessed versions of streams whose keepers have all ended. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { stream, STREAM_TTL_MS, StreamFleet } from "./stream_fleet.ts";

const JOINED_MS = 1000;
/** Less than it takes a record to be written to the store. */
const RUNNING_MS = 100;
const STREAMS = 60;
const ENDED = 4;

const ENDED_KEEPERS =
  "streams of a version that has just joined don't go on at the one before when all of their keepers have ended";
test(ENDED_KEEPERS, knownRed(ENDED_KEEPERS), async () => {
  const fleet = new StreamFleet(6, 2);
  await fleet.settle("v1");
  fleet.list("v1", "v2");
  await fleet.run(JOINED_MS);
  const ids = Array.from({ length: STREAMS }, (_, at) => `stream-${at}`);
  for (const [at, id] of ids.entries()) {
    const { streams } = fleet.host(at % ENDED);
    void streams.note(stream(id), "v2", STREAM_TTL_MS)
      .then(() => streams.noteBegun(stream(id)));
  }
  await fleet.run(RUNNING_MS);
  for (const host of fleet.hosts.slice(0, ENDED)) host.isAlive = false;
  const bindings = await Promise.all(
    ids.map((id, at) =>
      fleet.resolve(fleet.host(ENDED + at % (6 - ENDED)), stream(id))
    ),
  );
  const wrong = ids.filter((_, at) => {
    const binding = bindings[at];
    return binding?.type === "bound" && binding.softwareVersion !== "v2";
  });
  assert.deepEqual(wrong, []);
});
