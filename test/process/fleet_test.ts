/** The programs as processes: served, refused, cancelled, killed, frozen. */
import { after, before, test } from "node:test";
import assert from "node:assert/strict";
import { API_KEY, eventually, HALLS, Processes } from "./processes.ts";

const fleet = new Processes();
const LIMIT = { timeout: 60_000 };

before(() => fleet.startFleet(), LIMIT);
after(() => fleet.stop(), LIMIT);

for (const hall of HALLS) {
  test(`${hall} serves a streamed and a whole request`, LIMIT, async () => {
    const streamed = await fleet.complete(hall, {
      stream: true,
      max_tokens: 12,
    });
    const text = await streamed.text();
    const events = text.split("\n\n").filter((one) => one.length > 0);
    assert.equal(streamed.headers.get("content-type"), "text/event-stream");
    assert.equal(events.length, 14);
    assert.equal(events.at(-1), "data: [DONE]");

    const whole = await fleet.complete(hall, {
      max_tokens: 12,
      prompt: "minute 1. ".repeat(900),
    });
    const answer = await whole.json() as {
      choices: { text: string }[];
      usage: { completion_tokens: number };
    };
    assert.equal(whole.status, 200);
    assert.equal(answer.usage.completion_tokens, 12);
    assert.match(answer.choices[0]?.text ?? "", /\.11~\w+ $/);
  });
}

type ErrorAnswer = {
  error: { code: string; ran: string; message: string };
};

async function refusal(answer: Response) {
  const { error } = await answer.json() as ErrorAnswer;
  return { status: answer.status, code: error.code, ran: error.ran };
}

test("faulty requests get a clear answer", LIMIT, async () => {
  const at = `http://${fleet.callers("brest")}/v1/completions`;
  const headers = { authorization: `Bearer ${API_KEY}` };
  const badJson = await fetch(at, { method: "POST", headers, body: "{" });
  const ran = "not run";
  assert.deepEqual(await refusal(badJson), {
    status: 400,
    code: "bad_request",
    ran,
  });
  const model = await fleet.complete("brest", { model: "nothing" });
  assert.deepEqual(await refusal(model), {
    status: 404,
    code: "unknown_model",
    ran,
  });
  const key = await fleet.complete("brest", {}, { authorization: "Bearer x" });
  assert.deepEqual(await refusal(key), {
    status: 401,
    code: "unknown_key",
    ran,
  });
  const large = await fleet.complete("brest", { prompt: "x".repeat(70_000) });
  assert.deepEqual(await refusal(large), {
    status: 413,
    code: "body_too_large",
    ran,
  });
});

test("models are listed for a key", LIMIT, async () => {
  const answer = await fetch(`http://${fleet.callers("brest")}/v1/models`, {
    headers: { authorization: `Bearer ${API_KEY}` },
  });
  const { data } = await answer.json() as { data: { id: string }[] };
  assert.deepEqual(data.map((one) => one.id), ["recap-llm"]);
});

test("a caller that vanishes leaves nothing held", LIMIT, async () => {
  const gone = new AbortController();
  const body = { stream: true, max_tokens: 5000 };
  const answer = await fleet.complete("brest", body, {}, gone.signal);
  const reader = answer.body?.getReader();
  await reader?.read();
  assert.equal((await fleet.held()).length, 1);
  gone.abort();
  await eventually(async () => (await fleet.held()).length === 0);
});

test("a filing runs once over retries and a lost answer", LIMIT, async () => {
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
  assert.deepEqual(await refusal(second), {
    status: 409,
    code: "claim_taken",
    ran: "unknown",
  });
});

test("a killed host's requests are freed by its peers", LIMIT, async () => {
  const body = { stream: true, max_tokens: 5000 };
  const answer = await fleet.complete("quimper", body);
  const reader = answer.body?.getReader();
  await reader?.read();
  fleet.programs.get("quimper-1")?.child.kill("SIGKILL");
  await assert.rejects(async () => {
    for (;;) {
      const part = await reader?.read();
      if (!part || part.done) throw new Error("ended");
    }
  });
  await eventually(async () => (await fleet.held()).length === 0);
  const other = await fleet.complete("brest", { max_tokens: 2 });
  assert.equal(other.status, 200);
});

test(
  "a frozen host's requests are freed; it wakes unharmed",
  LIMIT,
  async () => {
    const host = fleet.programs.get("lorient-1")?.child;
    const body = { stream: true, max_tokens: 3000 };
    const answer = await fleet.complete("lorient", body);
    const reader = answer.body?.getReader();
    await reader?.read();
    host?.kill("SIGSTOP");
    await eventually(async () => (await fleet.held()).length === 0);
    host?.kill("SIGCONT");
    await reader?.cancel();
    await fleet.ready("lorient");
  },
);

test("on SIGTERM a host finishes what it has and ends", LIMIT, async () => {
  const answer = await fleet.complete("lorient", {
    stream: true,
    max_tokens: 150,
  });
  const reader = answer.body?.getReader();
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
