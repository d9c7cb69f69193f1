/**
 * Requests around the restart of a replica under its id and address. The wire
 * names the id alone, so the later start takes what was meant for the earlier.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { type RawAnswer, type RawRequest, whole } from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const isOwnCall = ({ path }: RawRequest) => /^.(reserve|export)/.test(path);
const STREAM = { "x-tokens": "10,10" };

/** The first replica is listed with another start. */
function restart({ context: { replicas } }: Rig, born: number): void {
  const later = (entry: ReplicaEntry) =>
    entry.id === "r0" ? { ...entry, born, incarnation: `r0@${born}` } : entry;
  const entries = replicas.entries().map(later);
  replicas.adopt({ revision: replicas.revision + 1, entries });
}

test("an answer of the later start to what was meant for the earlier is passed on", async () => {
  let rigOf: Rig | undefined;
  const answer: RawAnswer = (request, socket) => {
    if (rigOf && request.number === 1) restart(rigOf, 2);
    socket.write(whole(request, `answer ${request.number}`));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    rigOf = rig;
    const first = await rig.call({ id: "first" });
    assert.deepEqual([first.status, first.body], [200, "answer 1"]);
    const second = await rig.call({ id: "second" });
    assert.deepEqual([second.status, second.body], [200, "answer 2"]);
    const placed = rig.events.filter((one) => one.name === "placed")
      .map(({ fields }) => "replica" in fields && fields.replica);
    assert.deepEqual(placed, ["r0", "r0@2"]);
  });
});

test("memory that the earlier start reserved isn't counted on at the later", async () => {
  let restartNow: () => void = () => undefined;
  const decodes: RawAnswer = (request, socket) => {
    const body = `{"reservation":"m${request.number}"}`;
    socket.write(whole(request, isOwnCall(request) ? body : "answer"));
  };
  const reads: RawAnswer = (request, socket) => {
    if (!isOwnCall(request)) restartNow();
    socket.write(whole(request, '{"export":"e"}'));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: decodes, stage: ReplicaStage.decode },
      { answer: reads, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    restartNow = () => {
      restart(rig, 2);
      restartNow = () => undefined;
    };
    const seen = await rig.call({ id: "r", method: "POST", headers: STREAM });
    assert.equal(seen.status, 200);
    const reserved = rig.replicas[0]?.requests.filter((one) =>
      one.method === "POST" && isOwnCall(one)
    );
    assert.equal(reserved?.length, 2);
    const sent = rig.replicas[0]?.requests.filter((one) => !isOwnCall(one));
    assert.equal(sent?.length, 1);
    const used = sent?.[0]?.headers.get("x-reservation") ?? "";
    assert.match(used, /^m[2-9]/);
  });
});

test("that the earlier start left, or wanted a pause, doesn't close the later", async () => {
  const answer: RawAnswer = (request, socket) => {
    if (request.number > 1) return void socket.write(whole(request, "answer"));
    const extra = ["x-not-run: 1", "x-leaving: 1", "x-backoff: 60000"];
    const head = whole(request, "", extra);
    socket.write(head.replace("200 OK", "503 Leaving"));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    assert.equal((await rig.call({ id: "first" })).status, 503);
    assert.equal((await rig.call({ id: "second" })).status, 503);
    restart(rig, 2);
    assert.equal((await rig.call({ id: "third" })).status, 200);
  });
});
