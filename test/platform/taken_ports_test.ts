/** Guards against a taken port ending the process that starts. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { test } from "node:test";
import { parseListenAddress } from "../../src/util/address.ts";
import {
  call,
  type GatewayUnderTest,
  isReady,
  type ListenAddresses,
  waitWhileRunning,
  withGatewayProcess,
} from "./gateway_process.ts";

/** Starts a gateway while another server holds one of its addresses. */
async function withTakenPort(
  name: keyof ListenAddresses,
  work: (gateway: GatewayUnderTest, holder: Server) => Promise<void>,
): Promise<void> {
  const holder = createServer();
  const prepare = async (addresses: ListenAddresses) => {
    holder.listen(parseListenAddress(addresses[name]));
    await once(holder, "listening");
  };
  try {
    await withGatewayProcess({ prepare }, (gateway) => work(gateway, holder));
  } finally {
    holder.close();
  }
}

/** Waits until the log says that one listener can't be opened. */
async function waitForFailure(
  gateway: GatewayUnderTest,
  listener: keyof ListenAddresses,
): Promise<void> {
  await waitWhileRunning(
    gateway,
    () =>
      gateway.lines.some((line) =>
        line.includes('"listenFailed"') && line.includes(`"${listener}"`)
      ),
  );
}

for (const listener of ["callers", "readiness", "peers"] as const) {
  test(`a host whose port for ${listener} is taken waits for it`, async () => {
    await withTakenPort(listener, async (gateway, holder) => {
      await waitForFailure(gateway, listener);
      if (listener !== "readiness") {
        await waitWhileRunning(
          gateway,
          async () => (await call(gateway.readiness, "/readiness")).status > 0,
        );
        assert.equal(await isReady(gateway), false);
      }
      holder.close();
      await waitWhileRunning(gateway, () => isReady(gateway));
      assert.equal((await call(gateway.callers, "/a/x")).status, 200);
    });
  });
}

test("a host whose port for metrics is taken serves callers", async () => {
  await withTakenPort("metrics", async (gateway, holder) => {
    await waitWhileRunning(gateway, () => isReady(gateway));
    await waitForFailure(gateway, "metrics");
    assert.equal((await call(gateway.callers, "/a/x")).status, 200);
    holder.close();
    await waitWhileRunning(
      gateway,
      async () => (await call(gateway.metrics, "/metrics")).status === 200,
    );
  });
});

test("a host that waits for a taken port stops with 0", async () => {
  await withTakenPort("callers", async (gateway) => {
    await waitForFailure(gateway, "callers");
    gateway.process.kill("SIGTERM");
    assert.deepEqual(await gateway.ended, { code: 0, signal: null });
  });
});
