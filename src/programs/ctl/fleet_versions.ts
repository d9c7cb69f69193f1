/**
 * Compares the settings and routes versions of hosts, read from their metrics.
 */

/** The versions that a host reports in its metrics. */
export type HostVersions = {
  readonly address: string;
  /** Version of the settings file. */
  readonly settings: string;
  /** Time since this version came into force. */
  readonly settingsAgeSeconds: number;
  /** Reloads of the settings file refused since then. */
  readonly reloadsRefused: number;
  readonly routes: string;
};

/** Parses a host's metrics page; undefined when it contains no versions. */
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

/**
 * Formats the most common version of settings and routes, the hosts that have
 * another version, and the hosts that did not respond.
 */
export function formatFleetVersions(
  hosts: readonly HostVersions[],
  unreachable: readonly string[],
): string {
  const lines = [
    formatVersionSummary("settings", hosts, (host) => host.settings),
    formatVersionSummary("routes", hosts, (host) => host.routes),
  ];
  for (const { address, reloadsRefused } of hosts) {
    if (reloadsRefused === 0) continue;
    lines.push(`${address} refused ${reloadsRefused} reloads; see its log`);
  }
  if (unreachable.length > 0) {
    lines.push(`no answer: ${unreachable.join(", ")}`);
  }
  return lines.join("\n");
}

function formatVersionSummary(
  label: string,
  hosts: readonly HostVersions[],
  versionOf: (host: HostVersions) => string,
): string {
  const groups = new Map<string, HostVersions[]>();
  for (const host of hosts) {
    const version = versionOf(host);
    groups.set(version, [...groups.get(version) ?? [], host]);
  }
  const [mostCommon, ...others] = [...groups]
    .sort(([, a], [, b]) => b.length - a.length);
  if (!mostCommon) return `${label}: no host has answered`;
  const [version, matching] = mostCommon;
  const prefix =
    `${label}: ${matching.length} of ${hosts.length} on ${version}`;
  const deviations = others.map(([other, group]) =>
    `${other} on ${group.map((host) => host.address).join(", ")}`
  );
  return deviations.length === 0
    ? prefix
    : `${prefix}; not: ${deviations.join("; ")}`;
}
