/** Waits for valid settings when a host starts. */
import { formatFault, type SettingsFault } from "../settings/load.ts";
import type { Result } from "../util/result.ts";
import type { Milliseconds } from "../util/units.ts";
import { type Clock, sleep } from "./clock.ts";

/** How long a host waits for a valid file. */
const MAX_WAIT_MS = 30_000;
const RETRY_INTERVAL_MS = 200;

/** Options of {@link awaitSettings}. */
export type FirstSettingsOptions<Settings> = {
  load(): Result<Settings, SettingsFault[]>;
  /** Prints one line. */
  print(line: string): void;
  readonly clock: Clock;
};

/**
 * Loads the settings, and again while they are faulty, since another process
 * may be writing the file; undefined if they stay faulty. Prints the faults at
 * once and when they change.
 */
export async function awaitSettings<Settings>(
  { load, print, clock }: FirstSettingsOptions<Settings>,
): Promise<Settings | undefined> {
  const endsAt: Milliseconds = clock.now() + MAX_WAIT_MS;
  let printed = "";
  for (;;) {
    const loaded = load();
    if (loaded.ok) return loaded.val;
    const faults = loaded.val.map(formatFault).join("\n");
    if (clock.now() >= endsAt) {
      print(`${faults}\nThe settings are still invalid; giving up`);
      return undefined;
    }
    if (faults !== printed) {
      print(`${faults}\nReading the settings again until they are valid`);
    }
    printed = faults;
    await sleep(clock, RETRY_INTERVAL_MS);
  }
}
