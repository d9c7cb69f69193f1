/** A request's story from the log lines of any number of hosts. */

/** One line of a gateway's log that names the request. */
export type RequestLogLine = {
  /** ISO 8601, by the clock of its host. */
  readonly time: string;
  readonly host: string;
  readonly event: string;
  readonly sentence: string;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** Fields of every line, which the story tells otherwise or not at all. */
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

/** The lines that name a request, by time; other lines are passed over. */
export function findRequestLines(
  lines: Iterable<string>,
  request: string,
): RequestLogLine[] {
  const story: RequestLogLine[] = [];
  for (const line of lines) {
    if (!line.includes(request)) continue;
    const read = parseLogLine(line);
    if (read?.["request"] !== request) continue;
    story.push(toRequestLogLine(read));
  }
  return story.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
}

/** A line of JSON, whatever a log collector put before it. */
function parseLogLine(line: string): Record<string, unknown> | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const read: unknown = JSON.parse(line.slice(start));
    return typeof read === "object" && read !== null
      ? read as Record<string, unknown>
      : undefined;
  } catch {
    return undefined;
  }
}

function toRequestLogLine(read: Record<string, unknown>): RequestLogLine {
  const fields = Object.entries(read).filter(([name]) =>
    !OMITTED_FIELDS.has(name)
  );
  return {
    time: String(read["time"] ?? ""),
    host: String(read["host"] ?? ""),
    event: String(read["event"] ?? ""),
    sentence: String(read["msg"] ?? ""),
    fields: Object.fromEntries(fields),
  };
}

/** The story as text, one line an event. */
export function formatRequestLines(story: readonly RequestLogLine[]): string {
  return story.map((line) => {
    const fields = Object.entries(line.fields)
      .map(([name, value]) => `${name}=${String(value)}`);
    return [line.time, line.host, line.sentence, ...fields].join("  ");
  }).join("\n");
}
