/** Tests of `otterhillctl versions`. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createServer } from "node:http";
import { test, type TestContext } from "node:test";
import { settingsVersion } from "../../src/gateway/settings_state.ts";
import { Metrics } from "../../src/gateway/observe/metrics.ts";
import {
  formatFleetVersions,
  type HostVersions,
  parseHostVersions,
} from "../../src/programs/ctl/fleet_versions.ts";
import { GatewaySchema } from "../../src/settings/mod.ts";

function page(settings: string, routes: number, refused = 0): string {
  return new Metrics().render({
    settings_age_seconds: 5,
    settings_reloads_refused: refused,
    routes_version: routes,
  }, { settings });
}

function host(address: string, settings: string, routes = 7): HostVersions {
  const versions = parseHostVersions(address, page(settings, routes));
  assert.ok(versions);
  return versions;
}

test("lists hosts that deviate from the most common version, and refused reloads", () => {
  const hosts = [host("a:1", "x"), host("b:1", "x"), host("c:1", "y", 6)];
  const refusing = parseHostVersions("d:1", page("x", 7, 2));
  assert.ok(refusing);
  const lines = formatFleetVersions([...hosts, refusing], ["e:1"]).split("\n");
  assert.deepEqual(lines, [
    "settings: 3 of 4 on x; not: y on c:1",
    "routes: 3 of 4 on 7; not: 6 on c:1",
    "d:1 refused 2 reloads; see its log",
    "no answer: e:1",
  ]);
});

test("returns undefined for a metrics page without versions", () => {
  assert.equal(parseHostVersions("a:1", new Metrics().render({})), undefined);
});

function settingsOf(change: object, hostId: string) {
  return GatewaySchema.parse({
    host: { id: hostId, hall: "north" },
    listen: {
      callers: "1.1.1.1:1",
      readiness: "1.1.1.1:2",
      peers: "1.1.1.1:3",
    },
    store: { address: "1.1.1.2:1" },
    ...change,
  });
}

test("the settings version ignores settings specific to one host", () => {
  const first = settingsVersion(settingsOf({}, "a"));
  assert.equal(
    settingsVersion(settingsOf({ seeds: ["1.1.1.3:1"] }, "b")),
    first,
  );
  assert.notEqual(settingsVersion(settingsOf({ grace: "9s" }, "a")), first);
});

async function serve(t: TestContext, body: string): Promise<string> {
  const server = createServer((_request, response) => response.end(body));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.after(() => server.close());
  const bound = server.address();
  return `127.0.0.1:${typeof bound === "object" && bound ? bound.port : 0}`;
}

function run(
  args: readonly string[],
): Promise<{ code: number | null; out: string }> {
  const main = "dist/src/programs/ctl/main.js";
  const child = spawn(process.execPath, [main, "versions", ...args]);
  let out = "";
  child.stdout.on("data", (chunk: Buffer) => out += chunk.toString("utf8"));
  return new Promise((resolve) => {
    child.on("close", (code) => resolve({ code, out: out.trim() }));
  });
}

test("versions exits with 0 only when all hosts respond and agree", async (t) => {
  const same = [await serve(t, page("x", 7)), await serve(t, page("x", 7))];
  assert.deepEqual(await run(same), {
    code: 0,
    out: "settings: 2 of 2 on x\nroutes: 2 of 2 on 7",
  });
  const other = await serve(t, page("y", 7));
  const mixed = await run([...same, other]);
  assert.equal(mixed.code, 1);
  assert.match(mixed.out, new RegExp(`not: y on ${other}`));
});
