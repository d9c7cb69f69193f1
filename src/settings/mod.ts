/** Loading of TOML settings files and the schemas that validate them. */
export * from "./load.ts";
export * from "./router.ts";
export * from "./standin.ts";
export * from "./gateway.ts";
