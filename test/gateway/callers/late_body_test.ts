/** Guards against requests that are held longer than their route's timeout. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";

const ROUTE_TIMEOUT_MS = 60_000;
/** Far less than the route's timeout, and far more than a response takes. */
const MAX_TEST_MS = 15_000;

const FIRST = "GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n";
/** Its body never comes. */
const SECOND = "POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: 2\r\n" +
  "Content-Length: 10\r\n\r\n";

// The time to read a body began when all requests before it had been answered.
test(
  "a body is not awaited longer than its request has time, whatever came before it",
  {
    timeout: MAX_TEST_MS,
  },
  async () => {
    let now = performance.now();
    const answer: RawAnswer = (request, socket) => {
      now += ROUTE_TIMEOUT_MS;
      socket.write(completeResponse(request, "body"));
    };
    const route = {
      kind: RouteKind.unsafe,
      attempts: 1,
      timeoutMs: ROUTE_TIMEOUT_MS,
    };
    const options = { route, replicas: [{ answer }], now: () => now };
    await withRig(options, async ({ address }) => {
      const [host = "", port] = address.split(":");
      const socket = connect(Number(port), host);
      const text = await new Promise<string>((resolve) => {
        let received = "";
        socket.on("data", (bytes) => received += bytes.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
        socket.write(FIRST + SECOND);
      });
      const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)]
        .map(([, status]) => status);
      assert.deepEqual(statuses, ["200", "408"]);
    });
  },
);
