/** Structured log of a program, written with bunyan. */
import bunyan from "bunyan";

/** A log that prefixes each message with the part that it comes from. */
export type Log = {
  info(part: string, message: string, fields?: object): void;
  warn(part: string, message: string, fields?: object): void;
  error(part: string, message: string, fields?: object): void;
};

/** Opens a log that writes to standard error. */
export function openLog(
  program: string,
  level: bunyan.LogLevelString,
): Log {
  const logger = bunyan.createLogger({
    name: program,
    level,
    stream: process.stderr,
  });
  return {
    info: (part, message, fields) =>
      logger.info(fields ?? {}, `${part}: ${message}`),
    warn: (part, message, fields) =>
      logger.warn(fields ?? {}, `${part}: ${message}`),
    error: (part, message, fields) =>
      logger.error(fields ?? {}, `${part}: ${message}`),
  };
}
