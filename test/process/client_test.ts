/** Tests the gateway with the official OpenAI client. */
import { after, before, test } from "node:test";
import assert from "node:assert/strict";
import OpenAI from "openai";
import { API_KEY, eventually, Processes } from "./processes.ts";

const fleet = new Processes();
const TIMEOUT = { timeout: 60_000 };

before(() => fleet.startFleet(), TIMEOUT);
after(() => fleet.stop(), TIMEOUT);

function client(retries: number): OpenAI {
  return new OpenAI({
    apiKey: API_KEY,
    baseURL: `http://${fleet.callers("brest")}/v1`,
    maxRetries: retries,
  });
}

const MESSAGES = [{ role: "user" as const, content: "Sum up the match" }];

test("streams a chat completion to its end", TIMEOUT, async () => {
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

test("returns a complete chat completion with its usage", TIMEOUT, async () => {
  const response = await client(0).chat.completions.create({
    model: "recap-llm",
    messages: MESSAGES,
    max_tokens: 7,
  });
  assert.equal(response.usage?.completion_tokens, 7);
  assert.match(response.choices[0]?.message.content ?? "", /\.6~\w+ $/);
});

test(
  "releases all upstream resources when the client cancels a stream",
  TIMEOUT,
  async () => {
    const stream = await client(0).chat.completions.create({
      model: "recap-llm",
      messages: MESSAGES,
      max_tokens: 4000,
      stream: true,
    });
    const chunks = stream[Symbol.asyncIterator]();
    await chunks.next();
    stream.controller.abort();
    await eventually(async () => (await fleet.heldAttempts()).length === 0);
  },
);

test(
  "the client retries after a refusal with a retry-after header",
  TIMEOUT,
  async () => {
    const names = ["brest", "quimper", "lorient"].map((hall) =>
      `decode-${hall}`
    );
    const setDraining = (drain: boolean) =>
      Promise.all(names.map((name) => {
        const address = fleet.programs.get(name)?.addresses["address"];
        const url = `http://${address}/v1/orders`;
        const body = JSON.stringify({ fence: 1, drain });
        return fetch(url, { method: "POST", body });
      }));
    await setDraining(true);
    await eventually(async () => {
      const response = await fleet.complete("brest", { max_tokens: 1 });
      await response.text();
      return response.status === 503 && response.headers.has("retry-after");
    });
    const pending = client(5).chat.completions.create({
      model: "recap-llm",
      messages: MESSAGES,
      max_tokens: 2,
    });
    await setDraining(false);
    assert.equal((await pending).usage?.completion_tokens, 2);
  },
);
