/** Headers of a replica's responses in the platform's protocol. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";

/** Echoes the request's id, if it has one, and seals it for this replica. */
export function echoId(
  headers: IncomingHttpHeaders,
  response: ServerResponse,
  replica: string,
): void {
  const id = headers["attempt-id"];
  if (id === undefined) return;
  response.setHeader("Attempt-Id", id);
  response.setHeader("Server-Seal", `${replica}.${String(id)}`);
}

/** Rejects a request that has not run and will not run. */
export function rejectRun(response: ServerResponse, status: number): void {
  response.writeHead(status, { "Not-Executed": "1" });
  response.end();
}
