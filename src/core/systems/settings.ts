/**
 * Keeps settings in force: reads new rows from the platform, adopts higher
 * versions only, and passes rows on to peers that are behind.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Mechanism } from "../options.ts";
import type { TableRow } from "../events.ts";
import type { SettingsRows } from "../../messages/peer.ts";
import { CustomerSchema } from "../setups/customer.ts";
import { RowKey } from "../setups/setup.ts";
import { SplitSchema } from "../setups/split.ts";
import { TemplateSchema } from "../setups/template.ts";
import type { Settings, SettingsRow } from "../tables/settings.ts";
import { jitter } from "../../util/random.ts";
import { count, enabled, log, order, type World } from "../world.ts";
import { openCall } from "./calls.ts";
import { tell } from "./peers.ts";

/** Rows in one message between hosts: some 60 KB at 300 bytes a row. */
const ROWS_PER_MESSAGE = 200;

/** Reads new settings rows from the platform when the time has come. */
export function pollSettings(world: World, now: Milliseconds): void {
  if (now < world.schedule.settings) return;
  const span = world.options.settingsPollMs;
  world.schedule.settings = now + jitter(world.random, span);
  const call = openCall(world, now, { purpose: "settings", rows: [] });
  order(world, {
    type: "readTable",
    call,
    prefix: RowKey.all,
    after: world.settings.version,
  });
}

/** Takes rows that the platform gave. */
export function takeTableRows(
  world: World,
  rows: readonly TableRow[],
): void {
  const taken = rows.map((one) => ({
    key: one.key,
    version: one.revision,
    value: one.value,
  }));
  const upTo = Math.max(0, ...taken.map((one) => one.version));
  adoptRows(world, taken, upTo);
}

/** Takes rows that a peer passed on. */
export function takePeerRows(
  world: World,
  from: HostId,
  message: SettingsRows,
): void {
  const gap = message.after > world.settings.version;
  if (gap) return pullSettings(world, from);
  const rows = message.rows.map((one) => ({
    key: one.key,
    version: one.version,
    value: one.value === "" ? null : one.value,
  }));
  adoptRows(world, rows, message.upTo);
}

/** Asks a peer for the rows after this host's version. */
export function pullSettings(world: World, from: HostId): void {
  const value = { after: world.settings.version };
  tell(world, from, { $case: "settingsPull", value });
}

/** Passes rows after a version to a peer, oldest first, a page at a time. */
export function passSettings(world: World, to: HostId, after: number): void {
  const newer = [...world.settings.rows.values()]
    .filter((one) => one.version > after)
    .sort((a, b) => a.version - b.version);
  const page = newer.slice(0, ROWS_PER_MESSAGE);
  const whole = page.length === newer.length;
  const last = page.at(-1)?.version ?? after;
  const upTo = whole ? world.settings.version : last;
  const rows = page.map((one) => ({ ...one, value: one.value ?? "" }));
  tell(world, to, { $case: "settingsRows", value: { after, upTo, rows } });
}

function adoptRows(
  world: World,
  rows: readonly SettingsRow[],
  upTo: number,
): void {
  const before = world.settings.version;
  for (const row of rows) adoptRow(world, row);
  const keeps = enabled(world, Mechanism.keepVersions);
  world.settings.version = keeps ? Math.max(before, upTo) : upTo || before;
  if (world.settings.version === before) return;
  world.settings.setups.clear();
  log(world, {
    part: "settings",
    sentence: "A new version is in force",
    fields: { version: world.settings.version, before },
  });
}

function adoptRow(world: World, row: SettingsRow): void {
  const { settings } = world;
  const known = settings.rows.get(row.key);
  const older = known !== undefined && row.version <= known.version;
  if (older && enabled(world, Mechanism.keepVersions)) return;
  const fault = rowFault(row);
  if (fault !== undefined) return keepLastGood(world, row, known, fault);
  settings.rejected.delete(row.key);
  unindex(settings, known);
  settings.rows.set(row.key, row);
  index(settings, row);
}

/** A row that can't be read changes nothing but its version. */
function keepLastGood(
  world: World,
  row: SettingsRow,
  known: SettingsRow | undefined,
  fault: string,
): void {
  world.settings.rejected.set(row.key, fault);
  const value = known?.value ?? null;
  world.settings.rows.set(row.key, { ...row, value });
  count(world, "settings_rejected");
  log(world, {
    part: "settings",
    sentence: "A row can't be read, the last good one stays",
    fields: { key: row.key, version: row.version, fault },
  });
}

function rowFault(row: SettingsRow): string | undefined {
  if (row.value === null) return undefined;
  try {
    const value: unknown = JSON.parse(row.value);
    if (row.key.startsWith(RowKey.template)) TemplateSchema.parse(value);
    if (row.key.startsWith(RowKey.customer)) CustomerSchema.parse(value);
    if (row.key.startsWith(RowKey.split)) SplitSchema.parse(value);
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

function index(settings: Settings, row: SettingsRow): void {
  if (row.value === null) return;
  if (row.key.startsWith(RowKey.stop)) {
    settings.stops.add(row.key.slice(RowKey.stop.length));
  }
  if (!row.key.startsWith(RowKey.customer)) return;
  const customer = row.key.slice(RowKey.customer.length);
  const { key_hashes } = CustomerSchema.parse(JSON.parse(row.value));
  for (const hash of key_hashes) settings.customersByKey.set(hash, customer);
}

function unindex(settings: Settings, row: SettingsRow | undefined): void {
  if (!row) return;
  if (row.key.startsWith(RowKey.stop)) {
    settings.stops.delete(row.key.slice(RowKey.stop.length));
  }
  if (!row.key.startsWith(RowKey.customer)) return;
  const customer = row.key.slice(RowKey.customer.length);
  for (const [hash, its] of settings.customersByKey) {
    if (its === customer) settings.customersByKey.delete(hash);
  }
}
