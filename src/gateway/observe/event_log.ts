/** Structured, rate-limited log of the gateway's events. */
import bunyan from "bunyan";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { type EventKind, UNLIMITED } from "./event_kind.ts";
import { EVENT_KINDS, type EventName } from "./event_names.ts";
import type { LineWriter } from "./line_writer.ts";

/** Fields of a log record. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events to the log. */
export type EventLog = {
  note(name: EventName, fields?: EventFields): void;
};

type RateWindow = { second: number; lines: number; suppressed: number };

/** Options of {@link openEventLog}. */
export type EventLogOptions = {
  readonly program: string;
  readonly host: string;
  readonly level: bunyan.LogLevelString;
  readonly clock: Clock;
  readonly writer: LineWriter;
};

/** Opens a log that writes JSON lines. */
export function openEventLog(options: EventLogOptions): EventLog {
  const { clock, writer } = options;
  const logger = createLogger(options, writer);
  const unlimitedLogger = createLogger(options, {
    write: (line) => writer.writeUnbounded(line),
  });
  const windows = new Map<EventName, RateWindow>();
  return {
    note: (name, fields) => {
      const kind: EventKind = EVENT_KINDS[name];
      const admitted = admitLine(windows, name, kind, clock.now());
      if (!admitted) return;
      const dropped = writer.resetDroppedCount();
      const record = {
        event: name,
        ...fields,
        ...(admitted.suppressed > 0 ? { left_out: admitted.suppressed } : {}),
        ...(dropped > 0 ? { lines_dropped: dropped } : {}),
      };
      const { level, perSecond } = kind;
      const output = perSecond === UNLIMITED ? unlimitedLogger : logger;
      output[level](record, `${kind.part}: ${kind.sentence}`);
    },
  };
}

function createLogger(
  { program, host, level }: EventLogOptions,
  stream: Pick<LineWriter, "write">,
): bunyan {
  return bunyan.createLogger({
    name: program,
    host,
    level,
    stream: stream as unknown as NodeJS.WritableStream,
  });
}

/**
 * Returns the number of events suppressed since the last written one, or
 * undefined if this event is suppressed too.
 */
function admitLine(
  windows: Map<EventName, RateWindow>,
  name: EventName,
  kind: EventKind,
  now: Milliseconds,
): { suppressed: number } | undefined {
  const second = Math.floor(now / 1000);
  const existing = windows.get(name);
  const window = existing ?? { second, lines: 0, suppressed: 0 };
  if (!existing) windows.set(name, window);
  if (window.second !== second) {
    window.second = second;
    window.lines = 0;
  }
  if (window.lines >= kind.perSecond) {
    window.suppressed += 1;
    return undefined;
  }
  window.lines += 1;
  const { suppressed } = window;
  window.suppressed = 0;
  return { suppressed };
}
