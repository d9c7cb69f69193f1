/**
 * Which settings are in force. Their version is the same on all hosts whose
 * files say the same of the fleet: what belongs to one host is left out.
 */
import type { Milliseconds } from "../util/units.ts";
import type { GatewaySettings } from "../settings/gateway.ts";
import { sha256 } from "../util/sha256.ts";

/** Digits of a version: enough to tell a fleet's files apart. */
const VERSION_DIGITS = 12;

/** Sections that differ from host to host. */
const OF_ONE_HOST: ReadonlySet<string> = new Set(["host", "listen", "seeds"]);

/** Names what a settings file says of the fleet. */
export function settingsVersion(settings: GatewaySettings): string {
  const shared = Object.entries(settings)
    .filter(([section]) => !OF_ONE_HOST.has(section));
  return sha256(JSON.stringify(shared)).slice(0, VERSION_DIGITS);
}

/** The settings in force and how reloads went. */
export class SettingsState {
  #version: string;
  #loadedAt: Milliseconds;
  /** Reloads refused since the settings in force were loaded. */
  #refused = 0;

  constructor(settings: GatewaySettings, now: Milliseconds) {
    this.#version = settingsVersion(settings);
    this.#loadedAt = now;
  }

  /** Version of the settings in force. */
  get version(): string {
    return this.#version;
  }

  /** Changed settings are in force. */
  loaded(settings: GatewaySettings, now: Milliseconds): void {
    this.#version = settingsVersion(settings);
    this.#loadedAt = now;
    this.#refused = 0;
  }

  /** Changed settings could not be used. */
  refused(): void {
    this.#refused += 1;
  }

  /** How long the settings have been in force, and refusals since. */
  gauges(now: Milliseconds): Readonly<Record<string, number>> {
    return {
      settings_age_seconds: (now - this.#loadedAt) / 1000,
      settings_reloads_refused: this.#refused,
    };
  }
}
