/** HTTP server of the platform stand-in; docs/PLATFORM.md specifies its API. */
import * as z from "zod";
import {
  ListEntrySchema,
  type PlatformSettings,
} from "../../settings/standin.ts";
import { decodeListEntry, encodeListEntry } from "../../util/list_entry.ts";
import {
  type Exchange,
  type RunningStandin,
  sendJson,
  startServer,
} from "../http/json_server.ts";
import {
  createPlatform,
  type Platform,
  putHosts,
  readRows,
  writeRows,
} from "./model.ts";

const WriteBody = z.object({
  changes: z.array(z.object({
    key: z.string(),
    value: z.string().nullable().exactOptional(),
    ifRevision: z.number().exactOptional(),
    ifValue: z.string().exactOptional(),
  })),
});
const FaultsBody = z.strictObject({
  down: z.boolean().optional(),
  slow_ms: z.number().min(0).optional(),
  lose_writes: z.int().min(0).optional(),
});
const LeavingBody = z.object({ id: z.string(), leaving: z.boolean() });
const HostListBody = z.object({ hosts: z.array(ListEntrySchema) });

export async function startPlatform(
  settings: PlatformSettings,
): Promise<RunningStandin & { readonly platform: Platform }> {
  const platform = createPlatform();
  putHosts(platform, settings.hosts.map(decodeListEntry));
  const running = await startServer(settings.listen, (exchange) => {
    serve(platform, exchange);
  });
  return { ...running, platform };
}

function serve(platform: Platform, exchange: Exchange): void {
  const { method, url, body, response } = exchange;
  if (url.pathname === "/faults" && method === "POST") {
    setFaults(platform, body);
    return sendJson(response, 200, {});
  }
  if (platform.down) return;
  setTimeout(() => respond(platform, exchange), platform.slowMs);
}

function setFaults(platform: Platform, body: string): void {
  const faults = FaultsBody.parse(JSON.parse(body));
  platform.down = faults.down ?? platform.down;
  platform.slowMs = faults.slow_ms ?? platform.slowMs;
  platform.loseWrites = faults.lose_writes ?? platform.loseWrites;
}

function respond(platform: Platform, exchange: Exchange): void {
  const { method, url, body, response } = exchange;
  const route = `${method} ${url.pathname}`;
  if (route === "GET /table") {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after") ?? 0);
    const rows = readRows(platform, prefix, after);
    return sendJson(response, 200, { revision: platform.revision, rows });
  }
  if (route === "POST /table") return write(platform, exchange);
  if (route === "GET /hosts") {
    const { revision, entries } = platform.list;
    return sendJson(response, 200, {
      revision,
      entries: entries.map(encodeListEntry),
    });
  }
  if (route === "POST /hosts") {
    changeHosts(platform, JSON.parse(body));
    return sendJson(response, 200, { revision: platform.list.revision });
  }
  if (url.pathname.startsWith("/objects/")) {
    return serveObject(platform, exchange);
  }
  sendJson(response, 404, { error: `No route ${route}` });
}

/** Replaces the full list or sets one entry's `leaving` flag. */
function changeHosts(platform: Platform, body: unknown): void {
  const list = HostListBody.safeParse(body);
  if (list.success) {
    return putHosts(platform, list.data.hosts.map(decodeListEntry));
  }
  const { id, leaving } = LeavingBody.parse(body);
  const entries = platform.list.entries
    .map((entry) => entry.id === id ? { ...entry, leaving } : entry);
  putHosts(platform, entries);
}

function write(platform: Platform, { body, response }: Exchange): void {
  const { changes } = WriteBody.parse(JSON.parse(body));
  const result = writeRows(platform, changes);
  if (platform.loseWrites > 0) {
    platform.loseWrites -= 1;
    response.destroy();
    return;
  }
  if (result.ok) return sendJson(response, 200, { revision: result.revision });
  sendJson(response, 409, { conflicts: result.conflicts });
}

function serveObject(platform: Platform, exchange: Exchange): void {
  const { method, url, body, response } = exchange;
  if (method === "PUT") {
    platform.objects.set(url.pathname, body);
    return sendJson(response, 200, {});
  }
  const value = platform.objects.get(url.pathname);
  if (value === undefined) return sendJson(response, 404, {});
  response.end(value);
}
