/** Settings files: TOML, checked by a schema, faults named by key. */
export * from "./load.ts";
export * from "./router.ts";
export * from "./standin.ts";
export * from "./gateway.ts";
