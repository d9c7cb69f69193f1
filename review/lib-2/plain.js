/**
 * A stand-in of one replica of a plain service, as a process of its own. Its
 * parameters and what it reports are as those of engine.js.
 */
import { createServer } from "node:http";

const WORK_MS = 43;
const HEARTBEAT_MS = 1200;
const BODY = "x".repeat(800);

const { id, service, zone, version, host, port, slots } = JSON.parse(
  process.argv[2],
);
const born = Date.now();
let address = "";
let beats = 0;

function report(line) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), id, ...line })}\n`);
}

function beat() {
  beats += 1;
  const entry = {
    Service: service,
    Address: address,
    Zone: zone,
    Version: version,
    Slots: slots,
    State: "ready",
    ColdRemainingMs: 0,
    Sequence: beats,
    born,
  };
  report({ type: "entry", entry });
}

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => answer(request, response));
});

function answer({ method, url, headers }, response) {
  const attempt = headers["attempt-id"];
  const expected = headers["expected-instance"];
  if (method === "GET" && url === "/health") {
    response.writeHead(200, { "Instance-Id": id, "Content-Length": 0 });
    return response.end();
  }
  if (attempt === undefined || (expected !== undefined && expected !== id)) {
    const echo = attempt === undefined ? {} : { "Attempt-Id": attempt };
    const status = attempt === undefined ? 400 : 421;
    response.writeHead(status, { ...echo, "Not-Executed": "1" });
    return response.end();
  }
  report({ type: "run", service, attempt });
  setTimeout(() => {
    response.writeHead(200, {
      "Attempt-Id": attempt,
      "Server-Seal": `seal-${id}-${attempt}`,
      "Content-Length": BODY.length,
    });
    response.end(BODY);
  }, WORK_MS);
}

server.listen({ port, host }, () => {
  address = `${host}:${server.address().port}`;
  report({ type: "listening", address, version, born });
  beat();
  setInterval(beat, HEARTBEAT_MS);
});
