/**
 * Version and age of the settings in force. Hosts with the same fleet-wide
 * settings have the same version; host-specific sections are excluded.
 */
import type { Milliseconds } from "../util/units.ts";
import type { GatewaySettings } from "../settings/gateway.ts";
import { sha256 } from "../util/sha256.ts";

/** Length of a version in hex digits. */
const VERSION_LENGTH = 12;

/** Host-specific sections. */
const HOST_SECTIONS: ReadonlySet<string> = new Set(["host", "listen", "seeds"]);

/** Returns a hash of the fleet-wide sections. */
export function settingsVersion(settings: GatewaySettings): string {
  const shared = Object.entries(settings)
    .filter(([section]) => !HOST_SECTIONS.has(section));
  return sha256(JSON.stringify(shared)).slice(0, VERSION_LENGTH);
}

/** The version of the settings in force and the count of refused reloads. */
export class SettingsState {
  #version: string;
  #loadedAt: Milliseconds;
  /** Reloads refused since the settings in force were loaded. */
  #refusedReloads = 0;

  constructor(settings: GatewaySettings, now: Milliseconds) {
    this.#version = settingsVersion(settings);
    this.#loadedAt = now;
  }

  /** Version of the settings in force. */
  get version(): string {
    return this.#version;
  }

  /** Records that changed settings are in force. */
  noteLoaded(settings: GatewaySettings, now: Milliseconds): void {
    this.#version = settingsVersion(settings);
    this.#loadedAt = now;
    this.#refusedReloads = 0;
  }

  /** Records that changed settings were invalid. */
  noteRefused(): void {
    this.#refusedReloads += 1;
  }

  /** Gauges for the metrics page. */
  gauges(now: Milliseconds): Readonly<Record<string, number>> {
    return {
      settings_age_seconds: (now - this.#loadedAt) / 1000,
      settings_reloads_refused: this.#refusedReloads,
    };
  }
}
