/**
 * Guards against callers that send bodies in chunks of one byte: a host held each
 * chunk by itself, ran out of memory and ended.
 */
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { assertWithinLimits } from "./check_host.ts";
import { Path, withLimitedHost } from "./limited_host.ts";
import { sleep } from "./sleep.ts";

const RUN_MS = 4000;
const CHUNK = "1\r\nx\r\n";
/** A response that does not end. */
const UNFINISHED = {
  place: "body",
  headers: ["Content-Length: 1000"],
  piece: "x",
  isOnce: true,
} as const;

function head(method: string, id: string, headers: string[] = []): string {
  return [
    `${method} ${Path.safe} HTTP/1.1`,
    "Host: example",
    `Attempt-Id: ${id}`,
    ...headers,
    "",
    "",
  ].join("\r\n");
}

function chunkedRequest(id: string, chunks: number): string {
  return head("POST", id, ["Transfer-Encoding: chunked"]) +
    CHUNK.repeat(chunks);
}

/** A request that is not answered, and others behind it. */
function pipelinedRequests(caller: number): string {
  const behind = Array.from(
    { length: 20 },
    (_, at) => chunkedRequest(`c${caller}-${at}`, 15_000) + "0\r\n\r\n",
  );
  return head("GET", `c${caller}`) + behind.join("");
}

const CASES = {
  "behind a request that is not answered": {
    callers: 4,
    textOf: pipelinedRequests,
  },
  "without an end": {
    callers: 40,
    textOf: (caller: number) => chunkedRequest(`c${caller}`, 60_000),
  },
} as const;

for (const [what, { callers, textOf }] of Object.entries(CASES)) {
  test(`no host ends by bodies of small chunks ${what}`, async () => {
    const sockets: Socket[] = [];
    const options = { endless: UNFINISHED };
    const figures = await withLimitedHost(options, async (host) => {
      const [address, port] = host.callers.split(":");
      for (let caller = 0; caller < callers; caller++) {
        const socket = connect(Number(port), address);
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.write(textOf(caller));
      }
      await sleep(RUN_MS);
    });
    for (const socket of sockets) socket.destroy();
    assertWithinLimits(figures);
  });
}
