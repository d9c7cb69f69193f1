/** Ways to the settings rows: the platform itself, or any entry host. */
import {
  callControl,
  type ControlTarget,
  PlatformClient,
} from "../shell/mod.ts";
import type { Store } from "./store.ts";

/** The platform as a store. */
export function platformStore(address: string, timeoutMs: number): Store {
  const client = new PlatformClient({ address, timeoutMs });
  return {
    read: async (prefix) => (await client.readRows(prefix, 0)).rows,
    write: async (changes) => {
      try {
        return await client.writeRows(changes);
      } catch {
        return { type: "lost" };
      }
    },
  };
}

/**
 * An entry host as a store: settings rows are those in force there, and
 * writes are passed on to the platform.
 */
export function hostStore(target: ControlTarget): Store {
  return {
    read: async (prefix) => {
      const value = { prefix };
      const answer = await callControl(target, { $case: "rows", value });
      if (answer.$case !== "rows") throw new Error("An answer of another kind");
      return answer.value.rows.map((row) => ({
        key: row.key,
        revision: row.version,
        value: row.value === "" ? null : row.value,
      }));
    },
    write: async (changes) => {
      const value = {
        changes: changes.map((one) => ({
          key: one.key,
          value: one.value === undefined ? undefined : one.value ?? "",
          ifRevision: one.ifRevision,
        })),
      };
      try {
        const answer = await callControl(target, { $case: "write", value });
        if (answer.$case !== "written") return { type: "lost" };
        const { outcome, revision, conflicts } = answer.value;
        if (outcome === "written") return { type: "written", revision };
        if (outcome === "conflict") {
          return { type: "conflict", keys: conflicts };
        }
        return { type: "lost" };
      } catch {
        return { type: "lost" };
      }
    },
  };
}
