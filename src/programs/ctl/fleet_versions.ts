/** Which versions are in force on the hosts of a fleet, from their metrics. */

/** What a host says is in force on it. */
export type HostVersions = {
  readonly address: string;
  /** Version of the settings file, and how long it has been in force. */
  readonly settings: string;
  readonly settingsAgeSeconds: number;
  /** Reloads that were refused since then. */
  readonly reloadsRefused: number;
  /** Version of the routes. */
  readonly routes: string;
};

/** Reads a host's metrics; undefined where they name no versions. */
export function parseHostVersions(
  address: string,
  page: string,
): HostVersions | undefined {
  const settings = /^otterhill_settings_info\{version="([^"]+)"\} 1$/m
    .exec(page)?.[1];
  const routes = parseGauge(page, "routes_version");
  if (settings === undefined || routes === undefined) return undefined;
  return {
    address,
    settings,
    settingsAgeSeconds: parseGauge(page, "settings_age_seconds") ?? 0,
    reloadsRefused: parseGauge(page, "settings_reloads_refused") ?? 0,
    routes: String(routes),
  };
}

function parseGauge(page: string, name: string): number | undefined {
  const value = new RegExp(`^otterhill_${name} (\\S+)$`, "m").exec(page)?.[1];
  return value === undefined ? undefined : Number(value);
}

/** A fleet in a few lines: the usual version, and the hosts without it. */
export function formatFleetVersions(
  hosts: readonly HostVersions[],
  silent: readonly string[],
): string {
  const lines = [
    formatVersionSummary("settings", hosts, (one) => one.settings),
    formatVersionSummary("routes", hosts, (one) => one.routes),
  ];
  for (const { address, reloadsRefused } of hosts) {
    if (reloadsRefused === 0) continue;
    lines.push(`${address} refused ${reloadsRefused} reloads; see its log`);
  }
  if (silent.length > 0) lines.push(`no answer: ${silent.join(", ")}`);
  return lines.join("\n");
}

function formatVersionSummary(
  what: string,
  hosts: readonly HostVersions[],
  versionOf: (host: HostVersions) => string,
): string {
  const groups = new Map<string, HostVersions[]>();
  for (const host of hosts) {
    const version = versionOf(host);
    groups.set(version, [...groups.get(version) ?? [], host]);
  }
  const [usual, ...others] = [...groups]
    .sort(([, a], [, b]) => b.length - a.length);
  if (!usual) return `${what}: no host has answered`;
  const [version, same] = usual;
  const head = `${what}: ${same.length} of ${hosts.length} on ${version}`;
  const rest = others.map(([other, its]) =>
    `${other} on ${its.map((one) => one.address).join(", ")}`
  );
  return rest.length === 0 ? head : `${head}; not: ${rest.join("; ")}`;
}
