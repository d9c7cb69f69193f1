/** Addresses of the form `IP:port`. */
import { isIP } from "node:net";

/** An IP address and a port. */
export type Address = { readonly host: string; readonly port: number };

/** Parses `IP:port`; undefined if the text has another form. */
export function parseAddress(text: string): Address | undefined {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon).replace(/^\[|\]$/g, "");
  const port = Number(text.slice(colon + 1));
  const isValid = colon > 0 && isIP(host) !== 0 && Number.isInteger(port) &&
    port >= 0 && port <= 65_535;
  return isValid ? { host, port } : undefined;
}
