/** The soak's proxy passes bytes on, holds them back, and resets. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { type FaultProxy, Silence, startProxy } from "./fault_proxy.ts";

async function withEcho(
  work: (proxy: FaultProxy, caller: Socket) => Promise<void>,
): Promise<void> {
  const echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  echo.listen(0, "127.0.0.1");
  await once(echo, "listening");
  const bound = echo.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const proxy = await startProxy(`127.0.0.1:${port}`);
  const caller = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
  caller.on("error", () => undefined);
  try {
    await work(proxy, caller);
  } finally {
    caller.destroy();
    proxy.stop();
    echo.close();
  }
}

test("bytes pass both ways in their order, also with a delay", async () => {
  await withEcho(async (proxy, caller) => {
    proxy.delayMs = 5;
    for (const part of ["a", "b", "c"]) caller.write(part);
    let seen = "";
    while (seen.length < 3) seen += String((await once(caller, "data"))[0]);
    assert.equal(seen, "abc");
  });
});

test("a silenced connection is reset when the fault heals", async () => {
  await withEcho(async (proxy, caller) => {
    caller.write("a");
    assert.equal(String((await once(caller, "data"))[0]), "a");
    proxy.silence = Silence.toCaller;
    caller.write("b");
    const closed = new Promise((resolve) => caller.once("close", resolve));
    proxy.heal();
    await closed;
    assert.equal(caller.bytesRead, 1);
  });
});
