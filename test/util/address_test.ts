/** Which texts are addresses: others end up in calls that throw. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { knownRed } from "../known_red.ts";
import { parseAddress } from "../../src/util/address.ts";
import { ODD_ADDRESSES } from "../platform/odd_rows.ts";

const port = fc.integer({ min: 1, max: 65_535 });

test("IPv4 addresses, and IPv6 ones in brackets, are parsed", () => {
  fc.assert(fc.property(fc.ipV4(), port, (host, port) => {
    assert.deepEqual(parseAddress(`${host}:${port}`), { host, port });
  }));
  fc.assert(fc.property(fc.ipV6(), port, (host, port) => {
    assert.deepEqual(parseAddress(`[${host}]:${port}`), { host, port });
  }));
});

const ODD = "a text that is no address is not parsed";
test(ODD, knownRed(ODD), () => {
  for (const text of ODD_ADDRESSES) {
    const name = JSON.stringify(text.slice(0, 100));
    assert.equal(parseAddress(text), undefined, name);
  }
});

const INSERTED = "an address with anything inserted is not parsed";
test(INSERTED, knownRed(INSERTED), () => {
  const inserted = fc.oneof(
    fc.string({ unit: "binary", minLength: 1 }),
    fc.constantFrom(" ", "\n", "\r\n", "\t", "\u00a0", "\uff11", "0x", "\0"),
  ).filter((text) => !/^[\d.:]+$/.test(text));
  const address = fc.tuple(fc.ipV4(), port).map(([host, port]) =>
    `${host}:${port}`
  );
  fc.assert(fc.property(address, inserted, fc.nat(), (text, part, at) => {
    const position = at % (text.length + 1);
    const odd = text.slice(0, position) + part + text.slice(position);
    assert.equal(parseAddress(odd), undefined, JSON.stringify(odd));
  }));
});
