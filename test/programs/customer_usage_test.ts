/** What `otterhillctl customer usage` reads of a gateway's metrics page. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { customerGauges } from "../../src/gateway/customers/customer_metrics.ts";
import { Metrics } from "../../src/gateway/observe/metrics.ts";
import { parseCustomerUsage } from "../../src/programs/ctl/customer_usage.ts";

test("a customer's values are found under any name, and those of no other", () => {
  fc.assert(fc.property(fc.string(), fc.string(), (customer, service) => {
    const rates = {
      service,
      priority: 1,
      customer,
      asked: 12,
      granted: 5,
      meanUse: 300.5,
      isHeld: true,
    };
    const other = { ...rates, customer: `${customer}2`, isHeld: false };
    const page = new Metrics().render({}, {}, customerGauges([rates, other]));
    assert.deepEqual(parseCustomerUsage("a:1", customer, page), [{
      address: "a:1",
      service,
      priority: "1",
      requestsPerSecond: 12,
      grantsPerSecond: 5,
      inUse: 300.5,
      isHeld: true,
    }]);
  }));
});

test("a page without customers has no usage", () => {
  const page = new Metrics().render({ hosts_known: 3 }, {}, customerGauges([]));
  assert.deepEqual(parseCustomerUsage("a:1", "alpha", page), []);
});
