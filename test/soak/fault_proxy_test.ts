/** Tests that the fault proxy forwards, drops and resets as configured. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { LOOPBACK } from "../loopback.ts";
import { endlessText } from "./endless_bytes.ts";
import {
  BlockedDirection,
  type FaultProxy,
  startFaultProxy,
} from "./fault_proxy.ts";

const FLOOD_BYTES = 1_000_000;

async function withEcho(
  work: (proxy: FaultProxy, caller: Socket) => Promise<void>,
): Promise<void> {
  const echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  echo.listen(0, LOOPBACK);
  await once(echo, "listening");
  const bound = echo.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const proxy = await startFaultProxy(`${LOOPBACK}:${port}`);
  const caller = connect(Number(proxy.address.split(":")[1]), LOOPBACK);
  caller.on("error", () => undefined);
  try {
    await work(proxy, caller);
  } finally {
    caller.destroy();
    proxy.stop();
    echo.close();
  }
}

test("forwards bytes in order in both directions, also with a delay", async () => {
  await withEcho(async (proxy, caller) => {
    proxy.delayMs = 5;
    for (const part of ["a", "b", "c"]) caller.write(part);
    let received = "";
    while (received.length < 3) {
      received += String((await once(caller, "data"))[0]);
    }
    assert.equal(received, "abc");
  });
});

test("resets a blocked connection when its fault ends", async () => {
  await withEcho(async (proxy, caller) => {
    caller.write("a");
    assert.equal(String((await once(caller, "data"))[0]), "a");
    proxy.blocked = BlockedDirection.toCaller;
    caller.write("b");
    const closed = new Promise((resolve) => caller.once("close", resolve));
    proxy.clearFaults();
    await closed;
    assert.equal(caller.bytesRead, 1);
  });
});

test("a flooded proxy sends bytes until the connection is closed", async () => {
  await withEcho(async (proxy, caller) => {
    proxy.endless = endlessText(0);
    let received = 0;
    const isFlooded = new Promise<void>((resolve) => {
      caller.on("data", (bytes) => {
        received += bytes.length;
        if (received > FLOOD_BYTES) resolve();
      });
    });
    caller.write("request");
    await isFlooded;
  });
});
