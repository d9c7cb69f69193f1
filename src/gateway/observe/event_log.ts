/** Structured log of the gateway's events, bounded in volume. */
import bunyan from "bunyan";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { EVENT_KINDS, type EventKind, type EventName } from "./event_names.ts";
import type { LineWriter } from "./line_writer.ts";

/** Fields of an event: its inputs, their age or version, its outcome. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Where events are told. */
export type EventLog = {
  note(name: EventName, fields?: EventFields): void;
};

type Window = { second: number; lines: number; left: number };

/** What an event log is made from. */
export type EventLogSource = {
  readonly program: string;
  readonly host: string;
  readonly level: bunyan.LogLevelString;
  readonly clock: Clock;
  readonly writer: LineWriter;
};

/** Opens a log of JSON lines. */
export function openEventLog(source: EventLogSource): EventLog {
  const { clock, writer } = source;
  const logger = bunyan.createLogger({
    name: source.program,
    host: source.host,
    level: source.level,
    stream: writer as unknown as NodeJS.WritableStream,
  });
  const windows = new Map<EventName, Window>();
  return {
    note: (name, fields) => {
      const kind: EventKind = EVENT_KINDS[name];
      const allowance = takeLine(windows, name, kind, clock.now());
      if (!allowance) return;
      const dropped = writer.takeDropped();
      const record = {
        event: name,
        ...fields,
        ...(allowance.left > 0 ? { left_out: allowance.left } : {}),
        ...(dropped > 0 ? { lines_dropped: dropped } : {}),
      };
      logger[kind.level](record, `${kind.part}: ${kind.sentence}`);
    },
  };
}

/** Whether the event may be written; how many before it were not. */
function takeLine(
  windows: Map<EventName, Window>,
  name: EventName,
  kind: EventKind,
  now: Milliseconds,
): { left: number } | undefined {
  const second = Math.floor(now / 1000);
  const known = windows.get(name);
  const window = known ?? { second, lines: 0, left: 0 };
  if (!known) windows.set(name, window);
  if (window.second !== second) {
    window.second = second;
    window.lines = 0;
  }
  if (window.lines >= kind.perSecond) {
    window.left += 1;
    return undefined;
  }
  window.lines += 1;
  const { left } = window;
  window.left = 0;
  return { left };
}
