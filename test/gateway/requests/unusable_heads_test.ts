/**
 * Responses whose head is whole, but doesn't begin a response that a caller could
 * use. Guards against bytes that are taken for the body of a response, or for a
 * response.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import { callRaw, SeenEnding } from "../raw_caller.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";

const BODY = "2\r\nhi\r\n0\r\n\r\n";
const WHOLE: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "whole"));
};

/** Responds with this status, these headers and a body, and ends. */
function answerWith(
  status: string,
  lines: readonly string[],
  body = BODY,
): RawAnswer {
  return ({ headers }, socket) => {
    const id = `x-id: ${headers.get("x-id")}`;
    const head = [`HTTP/1.1 ${status}`, id, ...lines, "", ""].join("\r\n");
    socket.end(head + body);
  };
}

/** Asserts that such a response doesn't reach callers. */
async function assertUnused(answer: RawAnswer, label: string): Promise<void> {
  const unsafe = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route: unsafe, replicas: [{ answer }] }, async (rig) => {
    assert.equal((await callRaw(rig.address)).status, 502, label);
  });
  const safe = { kind: RouteKind.safe, attempts: 2 };
  const replicas = [{ answer }, { answer: WHOLE }];
  await withRig({ route: safe, replicas }, async (rig) => {
    const { status, body, ending } = await callRaw(rig.address);
    const seen = [status, body, ending];
    assert.deepEqual(seen, [200, "whole", SeenEnding.complete], label);
    assert.equal(rig.replicas[0]?.requests.length, 1, label);
  });
}

const CODED =
  "a body in a transfer coding that isn't removed does not reach its caller";
test(CODED, knownRed(CODED), async () => {
  for (
    const coding of [
      "chunk",
      "xchunked",
      "gzip",
      "gzip, chunked",
      "chunked, gzip",
      "chunked,",
      "",
    ]
  ) {
    const answer = answerWith("200 OK", [`transfer-encoding: ${coding}`]);
    await assertUnused(answer, coding);
  }
});

test("a chunked body is read whatever the case of its coding", async () => {
  const answer = answerWith("200 OK", ["Transfer-Encoding: Chunked"]);
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const { status, body, ending } = await callRaw(rig.address);
    assert.deepEqual([status, body, ending], [200, "hi", SeenEnding.complete]);
  });
});

const INTERIM =
  "an interim response that takes the final one's place is no response";
test(INTERIM, knownRed(INTERIM), async () => {
  for (const lines of [[], ["content-length: 0"], ["upgrade: a"]]) {
    const answer = answerWith("101 Switching Protocols", lines, "");
    await assertUnused(answer, lines.join());
  }
});

test("bytes behind a whole response don't count against it", async () => {
  for (const framing of ["content-length", "transfer-encoding"]) {
    for (const bytes of ["hi", "\0", "HTTP/1.1 2x0 OK\r\n\r\n"]) {
      const answer = framing === "content-length"
        ? answerWith("200 OK", [`${framing}: 2`], `hi${bytes}`)
        : answerWith("200 OK", [`${framing}: chunked`], BODY + bytes);
      const route = { kind: RouteKind.unsafe, attempts: 1 };
      await withRig({ route, replicas: [{ answer }] }, async (rig) => {
        const { status, body, ending } = await callRaw(rig.address);
        const seen = [status, body, ending];
        const label = `${framing} ${JSON.stringify(bytes)}`;
        assert.deepEqual(seen, [200, "hi", SeenEnding.complete], label);
      });
    }
  }
});

const BODILESS =
  "a response without a body has no length, so that its caller stays in step";
test(BODILESS, knownRed(BODILESS), async () => {
  const answer = answerWith("204 No Content", ["content-length: 2"], "hi");
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const { status, headers, body } = await callRaw(rig.address);
    const length = headers.get("content-length");
    assert.deepEqual([status, length, body], [204, undefined, ""]);
  });
});
