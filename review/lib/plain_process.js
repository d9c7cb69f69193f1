/**
 * The process of a plain replica, a stand-in. Its answers have neither a length
 * nor chunks and end with their connection. It writes them in parts.
 */
import { createServer } from "node:http";

const HOST = "127.0.0.1";
/** The queue of new connections takes one more than this. */
const BACKLOG = 1;
const PARTS = 4;
const PART_MS = 100;
const PART_BYTES = 1000;

const [id] = process.argv.slice(2);
const stalled = new Int32Array(new SharedArrayBuffer(4));

/** The whole body of the answer to an attempt. */
function partsOf(attempt) {
  return Array.from({ length: PARTS }, (_, index) => {
    const head = `${index + 1}/${PARTS} ${attempt} `;
    return head.padEnd(PART_BYTES, ".");
  });
}

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => void answer(request, response));
});

async function answer({ method, url, headers }, response) {
  if (method === "GET" && url === "/health") {
    response.writeHead(200, { "Instance-Id": id });
    return response.end();
  }
  const attempt = headers["attempt-id"];
  const expected = headers["expected-instance"];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { "Attempt-Id": attempt, "Not-Executed": "1" });
    return response.end();
  }
  process.send({ type: "runs", id: attempt });
  response.removeHeader("Transfer-Encoding");
  response.writeHead(200, {
    "Attempt-Id": attempt,
    "Server-Seal": `${id}.${attempt}`,
    Connection: "close",
  });
  for (const part of partsOf(attempt)) {
    if (response.destroyed) return;
    response.write(part);
    await new Promise((resolve) => setTimeout(resolve, PART_MS));
  }
  response.end();
  const body = partsOf(attempt).join("");
  process.send({ type: "sent", id: attempt, body });
}

process.on("message", ({ stallMs }) => {
  process.send({ type: "stalls" });
  // Nothing is accepted meanwhile, so the queue of new connections fills up.
  setImmediate(() => Atomics.wait(stalled, 0, 0, stallMs));
});

server.listen({ host: HOST, port: 0, backlog: BACKLOG }, () => {
  const address = `${HOST}:${server.address().port}`;
  process.send({ type: "listens", address });
});
