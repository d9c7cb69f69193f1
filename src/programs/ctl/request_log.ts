/** Finds the log lines of a request in the merged logs of several hosts. */

/** A line of a gateway's log with the request's id. */
export type RequestLogLine = {
  /** ISO 8601, by the host's clock. */
  readonly time: string;
  readonly host: string;
  readonly event: string;
  readonly sentence: string;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** Common log fields that are shown separately or not at all. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "name",
  "host",
  "hostname",
  "pid",
  "level",
  "event",
  "request",
  "msg",
  "time",
  "v",
]);

/**
 * Returns the log lines of a request, or those about the state of a replica, by
 * its id, sorted by time. Skips all other lines, including lines that aren't
 * JSON.
 */
export function findRequestLines(
  lines: Iterable<string>,
  id: string,
): RequestLogLine[] {
  const found: RequestLogLine[] = [];
  for (const line of lines) {
    if (!line.includes(id)) continue;
    const record = parseLogLine(line);
    if (!record || !isAbout(record, id)) continue;
    found.push(toRequestLogLine(record));
  }
  return found.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
}

function isAbout(record: Record<string, unknown>, id: string): boolean {
  const { request, replica } = record;
  return request === undefined ? replica === id : request === id;
}

/** Parses a JSON log line; ignores a prefix added by a log collector. */
export function parseLogLine(
  line: string,
): Record<string, unknown> | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const record: unknown = JSON.parse(line.slice(start));
    return typeof record === "object" && record !== null
      ? record as Record<string, unknown>
      : undefined;
  } catch {
    return undefined;
  }
}

function toRequestLogLine(record: Record<string, unknown>): RequestLogLine {
  const fields = Object.entries(record).filter(([name]) =>
    !OMITTED_FIELDS.has(name)
  );
  return {
    time: String(record["time"] ?? ""),
    host: String(record["host"] ?? ""),
    event: String(record["event"] ?? ""),
    sentence: String(record["msg"] ?? ""),
    fields: Object.fromEntries(fields),
  };
}

/** Formats log lines as text, one line per event. */
export function formatRequestLines(lines: readonly RequestLogLine[]): string {
  return lines.map((line) => {
    const fields = Object.entries(line.fields)
      .map(([name, value]) => `${name}=${String(value)}`);
    return [line.time, line.host, line.sentence, ...fields].join("  ");
  }).join("\n");
}
