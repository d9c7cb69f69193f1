/** Fills the deploy file's settings template as DEPLOY.md describes. */

const SECTION = /\{\{([#^])([\w.]+)\}\}(.*?)\{\{\/\2\}\}/gs;
const VALUE = /\{\{([@.,]|[\w.]+)\}\}/g;

/** Returns the value of a dotted name, first looked up in the entry. */
function lookUp(name, scopes) {
  if (name === ".") return scopes[0];
  for (const scope of scopes) {
    const value = name.split(".").reduce((at, key) => at?.[key], scope);
    if (value !== undefined) return value;
  }
  return undefined;
}

/** Fills a template from the fields of a host. */
export function fillTemplate(text, scopes) {
  const filled = text.replace(SECTION, (_, kind, name, inner) => {
    const value = lookUp(name, scopes);
    const isGiven = value !== undefined && value !== false;
    if (kind === "^") return isGiven ? "" : fillTemplate(inner, scopes);
    if (!isGiven) return "";
    if (!Array.isArray(value)) return fillTemplate(inner, scopes);
    return value.map((entry, index) => {
      const comma = index < value.length - 1 ? "," : "";
      const own = inner.replaceAll("{{,}}", comma);
      return fillTemplate(own, [entry, ...scopes]);
    }).join("");
  });
  return filled.replace(VALUE, (_, name) => {
    const value = lookUp(name, scopes) ?? "";
    return Array.isArray(value) ? value.join(",") : String(value);
  });
}

/** The bounds of the small deployment osf-planovanie. */
export const BOUNDS = {
  SeedLagS: 3,
  AddressReuseS: 2,
  ContactTimeoutMs: 3000,
  AcknowledgeMs: 4000,
  CatchUpS: 4,
  DrainTimeoutMs: 2000,
  GracePeriodS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  DowngradeSlackMs: 250,
  PartitionBoundMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  RetryBudgetExtra: 56,
  RecoveryS: 12,
  PropagationMs: 120,
  RetryAfterS: 6.9,
  FencingRequired: true,
  LeaseDurationMs: 3000,
  ThawSlackMs: 300,
};

/** The limits of one machine there. */
export const LIMITS = {
  CpuShare: 0.675,
  CpuCores: 1,
  MemoryMb: 350,
  FileDescriptors: 4100,
  LinkMbps: 1000,
};
