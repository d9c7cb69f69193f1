/** Guards against one uncaught error ending the streams of all callers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  call,
  isReady,
  waitWhileRunning,
  withGatewayProcess,
} from "./gateway_process.ts";

test("a host goes on serving after an uncaught error and logs it", async () => {
  const command = [process.execPath, "dist/test/platform/faulty_gateway.js"];
  await withGatewayProcess({ command }, async (gateway) => {
    await waitWhileRunning(gateway, () => isReady(gateway));
    assert.equal((await call(gateway.callers, "/a/x")).status, 200);
    const errors = () =>
      gateway.lines.filter((line) => line.includes('"unexpectedError"'));
    for (const text of ["thrown outside", "rejected outside"]) {
      await waitWhileRunning(
        gateway,
        () =>
          errors().some((line) =>
            line.includes(text) && line.includes("faulty_gateway")
          ),
      );
    }
    assert.equal((await call(gateway.callers, "/a/x")).status, 200);
    const { body } = await call(gateway.metrics, "/metrics");
    assert.match(body, /otterhill_unexpected_errors_total [2-9]/);
  });
});
