/**
 * Tests the programs as processes: responses, refusals, cancels, crashes and
 * suspension.
 */
import { after, before, test } from "node:test";
import assert from "node:assert/strict";
import { API_KEY, eventually, HALLS, Processes } from "./processes.ts";

const fleet = new Processes();
const TIMEOUT = { timeout: 60_000 };

before(() => fleet.startFleet(), TIMEOUT);
after(() => fleet.stop(), TIMEOUT);

for (const hall of HALLS) {
  test(
    `${hall} serves a streaming and a non-streaming request`,
    TIMEOUT,
    async () => {
      const streamed = await fleet.complete(hall, {
        stream: true,
        max_tokens: 12,
      });
      const text = await streamed.text();
      const events = text.split("\n\n").filter((event) => event.length > 0);
      assert.equal(streamed.headers.get("content-type"), "text/event-stream");
      assert.equal(events.length, 14);
      assert.equal(events.at(-1), "data: [DONE]");

      const complete = await fleet.complete(hall, {
        max_tokens: 12,
        prompt: "minute 1. ".repeat(900),
      });
      const response = await complete.json() as {
        choices: { text: string }[];
        usage: { completion_tokens: number };
      };
      assert.equal(complete.status, 200);
      assert.equal(response.usage.completion_tokens, 12);
      assert.match(response.choices[0]?.text ?? "", /\.11~\w+ $/);
    },
  );
}

type ErrorBody = {
  error: { code: string; ran: string; message: string };
};

async function readError(response: Response) {
  const { error } = await response.json() as ErrorBody;
  return { status: response.status, code: error.code, ran: error.ran };
}

test("invalid requests get specific errors", TIMEOUT, async () => {
  const url = `http://${fleet.callers("brest")}/v1/completions`;
  const headers = { authorization: `Bearer ${API_KEY}` };
  const badJson = await fetch(url, { method: "POST", headers, body: "{" });
  const ran = "not run";
  assert.deepEqual(await readError(badJson), {
    status: 400,
    code: "bad_request",
    ran,
  });
  const model = await fleet.complete("brest", { model: "nothing" });
  assert.deepEqual(await readError(model), {
    status: 404,
    code: "unknown_model",
    ran,
  });
  const key = await fleet.complete("brest", {}, { authorization: "Bearer x" });
  assert.deepEqual(await readError(key), {
    status: 401,
    code: "unknown_key",
    ran,
  });
  const large = await fleet.complete("brest", { prompt: "x".repeat(70_000) });
  assert.deepEqual(await readError(large), {
    status: 413,
    code: "body_too_large",
    ran,
  });
});

test("lists the models of a key", TIMEOUT, async () => {
  const response = await fetch(`http://${fleet.callers("brest")}/v1/models`, {
    headers: { authorization: `Bearer ${API_KEY}` },
  });
  const { data } = await response.json() as { data: { id: string }[] };
  assert.deepEqual(data.map((model) => model.id), ["recap-llm"]);
});

test(
  "releases all upstream resources when a caller disconnects",
  TIMEOUT,
  async () => {
    const caller = new AbortController();
    const body = { stream: true, max_tokens: 5000 };
    const response = await fleet.complete("brest", body, {}, caller.signal);
    const reader = response.body?.getReader();
    await reader?.read();
    assert.equal((await fleet.heldAttempts()).length, 1);
    caller.abort();
    await eventually(async () => (await fleet.heldAttempts()).length === 0);
  },
);

test(
  "a run-once request runs once despite a retry and a lost response",
  TIMEOUT,
  async () => {
    await fleet.post("/faults", { lose_writes: 1 });
    const file = (hall: string) =>
      fetch(`http://${fleet.callers(hall)}/plain/reel-api/file`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${API_KEY}`,
          "idempotency-key": "objection-1",
          "x-otterhill-once": "true",
        },
        body: "objection 1",
      });
    const first = await file("brest");
    assert.equal(first.status, 200);
    await first.text();
    const second = await file("lorient");
    assert.deepEqual(await readError(second), {
      status: 409,
      code: "claim_taken",
      ran: "unknown",
    });
  },
);

test("peers release the requests of a killed host", TIMEOUT, async () => {
  const body = { stream: true, max_tokens: 5000 };
  const response = await fleet.complete("quimper", body);
  const reader = response.body?.getReader();
  await reader?.read();
  fleet.programs.get("quimper-1")?.child.kill("SIGKILL");
  await assert.rejects(async () => {
    for (;;) {
      const part = await reader?.read();
      if (!part || part.done) throw new Error("ended");
    }
  });
  await eventually(async () => (await fleet.heldAttempts()).length === 0);
  const other = await fleet.complete("brest", { max_tokens: 2 });
  assert.equal(other.status, 200);
});

test(
  "peers release the requests of a suspended host, which serves after it resumes",
  TIMEOUT,
  async () => {
    const host = fleet.programs.get("lorient-1")?.child;
    const body = { stream: true, max_tokens: 3000 };
    const response = await fleet.complete("lorient", body);
    const reader = response.body?.getReader();
    await reader?.read();
    host?.kill("SIGSTOP");
    await eventually(async () => (await fleet.heldAttempts()).length === 0);
    host?.kill("SIGCONT");
    await reader?.cancel();
    await fleet.waitUntilReady("lorient");
  },
);

test("on SIGTERM a host finishes its requests and exits", TIMEOUT, async () => {
  const response = await fleet.complete("lorient", {
    stream: true,
    max_tokens: 150,
  });
  const reader = response.body?.getReader();
  await reader?.read();
  const host = fleet.programs.get("lorient-1");
  host?.child.kill("SIGTERM");
  const decoder = new TextDecoder();
  let text = "";
  for (;;) {
    const part = await reader?.read();
    if (!part || part.done) break;
    text += decoder.decode(part.value);
  }
  assert.match(text, /\[DONE\]/);
  assert.equal(await host?.exited, 0);
});
