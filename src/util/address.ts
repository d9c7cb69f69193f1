/** Addresses of the form `IP:port`. */
import { isIP } from "node:net";

/** An IP number and a port. */
export type Address = { readonly host: string; readonly port: number };

/** Reads `IP:port`; undefined when it is something else. */
export function parseAddress(text: string): Address | undefined {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon).replace(/^\[|\]$/g, "");
  const port = Number(text.slice(colon + 1));
  const valid = colon > 0 && isIP(host) !== 0 && Number.isInteger(port) &&
    port >= 0 && port <= 65_535;
  return valid ? { host, port } : undefined;
}
