/** Schemas of settings values: durations, sizes, addresses and names. */
import bytes from "bytes";
import ms, { type StringValue } from "ms";
import * as z from "zod";
import { parseAddress, parseListenAddress } from "../util/address.ts";

/** A duration with a default. */
export function duration(defaultValue: string) {
  return requiredDuration().prefault(defaultValue);
}

/** A duration such as "250ms" or "3s", as milliseconds. */
export function requiredDuration() {
  return z.string().transform((text, context) => {
    const value = /[a-z]\s*$/i.test(text) ? ms(text as StringValue) : undefined;
    if (typeof value === "number" && value >= 0) return value;
    const message =
      `expected a duration such as "250ms" or "3s", got "${text}"`;
    context.addIssue({ code: "custom", message });
    return z.NEVER;
  });
}

/** A size such as "8MB" (powers of 1024), as bytes, with a default. */
export function size(defaultValue: string) {
  return requiredSize().prefault(defaultValue);
}

/** A size such as "8MB" (powers of 1024), as bytes. */
export function requiredSize() {
  return z.string().transform((text, context) => {
    const value = /[a-z]\s*$/i.test(text) ? bytes.parse(text) : null;
    if (value !== null && value > 0) return value;
    const message = `expected a size such as "512KB" or "8MB", got "${text}"`;
    context.addIssue({ code: "custom", message });
    return z.NEVER;
  });
}

/** An address of the form `IP:port` to connect to. */
export function address() {
  return addressOf(parseAddress);
}

/** An address of the form `IP:port` to listen on; port 0 is any free one. */
export function listenAddress() {
  return addressOf(parseListenAddress);
}

function addressOf(parse: (text: string) => object | undefined) {
  return z.string().refine((text) => parse(text) !== undefined, {
    error: (issue) => `expected "IP:port", got "${String(issue.input)}"`,
  });
}

/** A name of a host, a data hall, a region or an upstream. */
export function name() {
  return z.string().regex(/^[a-z0-9][a-z0-9._-]*$/, {
    error: (issue) =>
      `expected a name of a-z, 0-9, ".", "_" and "-", got "${
        String(issue.input)
      }"`,
  });
}
