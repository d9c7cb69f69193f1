/** A stop signal that comes while the event loop is busy. */

/** Tells a gateway process to stop itself. */
export type BusyStop = {
  readonly type: "busyStop";
  /** How long its event loop is busy when the signal comes. */
  readonly forMs: number;
};

/** The event of the line that tells when the signal was sent. */
export const SIGNALLED = "signalled";

/** Sends SIGTERM to this process and keeps it busy. */
export function stopWhileBusy({ forMs }: BusyStop): void {
  const time = new Date();
  console.log(JSON.stringify({ event: SIGNALLED, time }));
  process.kill(process.pid, "SIGTERM");
  while (Date.now() < time.getTime() + forMs);
}
