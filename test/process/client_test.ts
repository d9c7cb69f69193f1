/** An official OpenAI client as a caller. */
import { after, before, test } from "node:test";
import assert from "node:assert/strict";
import OpenAI from "openai";
import { API_KEY, eventually, Processes } from "./processes.ts";

const fleet = new Processes();
const LIMIT = { timeout: 60_000 };

before(() => fleet.startFleet(), LIMIT);
after(() => fleet.stop(), LIMIT);

function client(retries: number): OpenAI {
  return new OpenAI({
    apiKey: API_KEY,
    baseURL: `http://${fleet.callers("brest")}/v1`,
    maxRetries: retries,
  });
}

const MESSAGES = [{ role: "user" as const, content: "Sum up the match" }];

test("it streams a chat to its end", LIMIT, async () => {
  const stream = await client(0).chat.completions.create({
    model: "recap-llm",
    messages: MESSAGES,
    max_tokens: 15,
    stream: true,
  });
  let words = 0;
  let finish = "";
  for await (const chunk of stream) {
    const choice = chunk.choices[0];
    if (choice?.delta.content) words += 1;
    finish = choice?.finish_reason ?? finish;
  }
  assert.equal(words, 15);
  assert.equal(finish, "length");
});

test("it gets a whole chat with its usage", LIMIT, async () => {
  const answer = await client(0).chat.completions.create({
    model: "recap-llm",
    messages: MESSAGES,
    max_tokens: 7,
  });
  assert.equal(answer.usage?.completion_tokens, 7);
  assert.match(answer.choices[0]?.message.content ?? "", /\.6~\w+ $/);
});

test("it cancels a stream and nothing stays held", LIMIT, async () => {
  const stream = await client(0).chat.completions.create({
    model: "recap-llm",
    messages: MESSAGES,
    max_tokens: 4000,
    stream: true,
  });
  const chunks = stream[Symbol.asyncIterator]();
  await chunks.next();
  stream.controller.abort();
  await eventually(async () => (await fleet.held()).length === 0);
});

test("it meets a refusal with a time and comes back", LIMIT, async () => {
  const names = ["brest", "quimper", "lorient"].map((hall) => `decode-${hall}`);
  const tell = (drain: boolean) =>
    Promise.all(names.map((name) => {
      const address = fleet.programs.get(name)?.addresses["address"];
      const url = `http://${address}/v1/orders`;
      const body = JSON.stringify({ fence: 1, drain });
      return fetch(url, { method: "POST", body });
    }));
  await tell(true);
  await eventually(async () => {
    const answer = await fleet.complete("brest", { max_tokens: 1 });
    await answer.text();
    return answer.status === 503 && answer.headers.has("retry-after");
  });
  const coming = client(5).chat.completions.create({
    model: "recap-llm",
    messages: MESSAGES,
    max_tokens: 2,
  });
  await tell(false);
  assert.equal((await coming).usage?.completion_tokens, 2);
});
