/** Lint rules: strict TypeScript, and a core without I/O, clock or chance. */
import tseslint from "typescript-eslint";

const CLOCKS = ["Date", "performance", "setTimeout", "setInterval"];

export default tseslint.config(
  {
    ignores: [
      "dist/**",
      "target/**",
      "node_modules/**",
      "src/messages/**",
      "*.js",
    ],
  },
  ...tseslint.configs.strict,
  {
    rules: {
      "@typescript-eslint/consistent-type-definitions": ["error", "type"],
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-non-null-assertion": "error",
      "max-lines": ["error", { max: 300, skipComments: true }],
      "max-lines-per-function": ["error", { max: 60, skipComments: true }],
      "eqeqeq": "error",
    },
  },
  {
    files: ["src/core/**"],
    rules: {
      "no-restricted-globals": ["error", ...CLOCKS, "process", "Buffer"],
      "no-restricted-properties": ["error", {
        object: "Math",
        property: "random",
        message: "The core takes chance from world.random only.",
      }],
      "no-restricted-imports": ["error", {
        patterns: [{
          regex: "^node:|/(shell|settings|programs|standins)/",
          message: "The core imports nothing that does I/O.",
        }],
      }],
    },
  },
  {
    files: ["src/gateway/**", "src/util/units.ts", "platform/**"],
    rules: {
      "no-restricted-imports": ["error", {
        patterns: [{
          regex: "/core/",
          message: "The gateway has no tie to the core of the demo's router.",
        }],
      }],
    },
  },
  {
    files: ["test/**", "bench/**"],
    rules: { "max-lines-per-function": "off" },
  },
);
