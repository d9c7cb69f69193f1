/**
 * Requests around the restart of a replica with the same id and address. Calls
 * carry only the id, so the new incarnation accepts requests sent to the old
 * one.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const isHostCall = ({ path }: RawRequest) => /^.(reserve|export)/.test(path);
const STREAM = { "x-tokens": "10,10" };

/** Lists replicas, the first one unless named, with a new incarnation. */
function restart(
  { context: { replicas } }: Rig,
  born: number,
  ids: readonly string[] = ["r0"],
): void {
  const restarted = (entry: ReplicaEntry) =>
    ids.includes(entry.id)
      ? { ...entry, born, incarnation: `${entry.id}@${born}` }
      : entry;
  const entries = replicas.entries().map(restarted);
  replicas.adopt({ revision: replicas.revision + 1, entries });
}

test("a response of the new incarnation to a request for the old one is forwarded", async () => {
  let currentRig: Rig | undefined;
  const answer: RawAnswer = (request, socket) => {
    if (currentRig && request.number === 1) restart(currentRig, 2);
    socket.write(completeResponse(request, `answer ${request.number}`));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    currentRig = rig;
    const first = await rig.call({ id: "first" });
    assert.deepEqual([first.status, first.body], [200, "answer 1"]);
    const second = await rig.call({ id: "second" });
    assert.deepEqual([second.status, second.body], [200, "answer 2"]);
    const placed = rig.events.filter((event) => event.name === "placed")
      .map(({ fields }) => "replica" in fields && fields.replica);
    assert.deepEqual(placed, ["r0", "r0@2"]);
  });
});

test("a reservation at the old incarnation is not used at the new one", async () => {
  let restartNow: () => void = () => undefined;
  const decodes: RawAnswer = (request, socket) => {
    const body = `{"reservation":"m${request.number}"}`;
    socket.write(
      completeResponse(request, isHostCall(request) ? body : "answer"),
    );
  };
  const prefills: RawAnswer = (request, socket) => {
    if (!isHostCall(request)) restartNow();
    socket.write(completeResponse(request, '{"export":"e"}'));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: decodes, stage: ReplicaStage.decode },
      { answer: prefills, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    restartNow = () => {
      restart(rig, 2);
      restartNow = () => undefined;
    };
    const response = await rig.call({
      id: "r",
      method: "POST",
      headers: STREAM,
    });
    assert.equal(response.status, 200);
    const reserved = rig.replicas[0]?.requests.filter((request) =>
      request.method === "POST" && isHostCall(request)
    );
    assert.equal(reserved?.length, 2);
    const sent = rig.replicas[0]?.requests.filter((request) =>
      !isHostCall(request)
    );
    assert.equal(sent?.length, 1);
    const used = sent?.[0]?.headers.get("x-reservation") ?? "";
    assert.match(used, /^m[2-9]/);
    // Ids are unique within an incarnation only.
    const dropped = rig.replicas[0]?.requests.filter(({ method }) =>
      method === "DELETE"
    ).map(({ path }) => path);
    assert.deepEqual(dropped, []);
  });
});

test("an unused export at the old incarnation is not dropped at the new one", async () => {
  let restartNow: () => void = () => undefined;
  const decodes: RawAnswer = (request, socket) => {
    const body = `{"reservation":"m${request.number}"}`;
    socket.write(
      completeResponse(request, isHostCall(request) ? body : "answer"),
    );
  };
  const prefills: RawAnswer = (request, socket) => {
    if (!isHostCall(request)) restartNow();
    socket.write(completeResponse(request, '{"export":"e"}'));
  };
  const cases = [
    { ids: ["r0"], expected: ["/export/e"] },
    { ids: ["r0", "r1"], expected: [] },
  ];
  for (const { ids, expected } of cases) {
    await withRig({
      engine: ENGINE,
      route: { kind: "streaming" },
      replicas: [
        { answer: decodes, stage: ReplicaStage.decode },
        { answer: prefills, stage: ReplicaStage.prefill },
      ],
    }, async (rig) => {
      restartNow = () => {
        restart(rig, 2, ids);
        restartNow = () => undefined;
      };
      const response = await rig.call({
        id: "r",
        method: "POST",
        headers: STREAM,
      });
      assert.equal(response.status, 200);
      const paths = rig.replicas[1]?.requests.filter(({ method }) =>
        method === "DELETE"
      ).map(({ path }) => path);
      assert.deepEqual(paths, expected);
    });
  }
});

test("draining or backoff of the old incarnation does not close the new one", async () => {
  const answer: RawAnswer = (request, socket) => {
    if (request.number > 1) {
      return void socket.write(completeResponse(request, "answer"));
    }
    const extra = ["x-not-run: 1", "x-leaving: 1", "x-backoff: 60000"];
    const text = completeResponse(request, "", extra);
    socket.write(text.replace("200 OK", "503 Leaving"));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    assert.equal((await rig.call({ id: "first" })).status, 503);
    assert.equal((await rig.call({ id: "second" })).status, 503);
    restart(rig, 2);
    assert.equal((await rig.call({ id: "third" })).status, 200);
  });
});

test("a limit and the connections of the old incarnation are not those of the new one", async () => {
  const answer: RawAnswer = (request, socket) => {
    const limits = request.number === 1 ? ["x-limit: 0.01"] : [];
    socket.write(completeResponse(request, "answer", limits));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    assert.equal((await rig.call({ id: "first" })).status, 200);
    assert.equal((await rig.call({ id: "second" })).status, 503);
    restart(rig, 2);
    assert.equal((await rig.call({ id: "third" })).status, 200);
    assert.equal(rig.replicas[0]?.connections(), 2);
  });
});

test("a request that broke at the old incarnation is sent to the new one", async () => {
  let currentRig: Rig | undefined;
  const answer: RawAnswer = (request, socket) => {
    if (request.number > 1) {
      return void socket.write(completeResponse(request, "answer"));
    }
    if (currentRig) restart(currentRig, 2);
    socket.destroy();
  };
  const route = { kind: "safe", attempts: 2 } as const;
  await withRig({ replicas: [{ answer }], route }, async (rig) => {
    currentRig = rig;
    assert.equal((await rig.call({ id: "first" })).status, 200);
    assert.equal(rig.replicas[0]?.requests.length, 2);
  });
});
