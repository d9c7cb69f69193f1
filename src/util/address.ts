/** Addresses of the form `IP:port`. */
import { isIP } from "node:net";

/** An IP address and a port. */
export type Address = { readonly host: string; readonly port: number };

/** IPv6 addresses are in brackets, with a zone if any. */
const FORM =
  /^(?:(?<ipv4>[\d.]{7,15})|\[(?<ipv6>[^[\]]{2,63})\]):(?<port>0|[1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

/** Parses an address to connect to; undefined if the text has another form. */
export function parseAddress(text: string): Address | undefined {
  const address = parseListenAddress(text);
  return address?.port === 0 ? undefined : address;
}

/** Parses an address to listen on; port 0 stands for any free port. */
export function parseListenAddress(text: string): Address | undefined {
  const { ipv4, ipv6, port: digits } = FORM.exec(text)?.groups ?? {};
  const host = ipv4 ?? ipv6 ?? "";
  const port = Number(digits);
  const isValid = isIP(host) === (ipv4 === undefined ? 6 : 4) &&
    port <= MAX_PORT;
  return isValid ? { host, port } : undefined;
}
