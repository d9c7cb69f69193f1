/** The program's log: bunyan, one short sentence, a prefix per part. */
import bunyan from "bunyan";

/** A log that prefixes each sentence with the part it comes from. */
export type Log = {
  info(part: string, sentence: string, fields?: object): void;
  warn(part: string, sentence: string, fields?: object): void;
  error(part: string, sentence: string, fields?: object): void;
};

/** Opens a program's log on standard error. */
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
    info: (part, sentence, fields) =>
      logger.info(fields ?? {}, `${part}: ${sentence}`),
    warn: (part, sentence, fields) =>
      logger.warn(fields ?? {}, `${part}: ${sentence}`),
    error: (part, sentence, fields) =>
      logger.error(fields ?? {}, `${part}: ${sentence}`),
  };
}
