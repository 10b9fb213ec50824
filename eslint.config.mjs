import js from "@eslint/js";
import headers from "eslint-plugin-headers";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const DOCUMENTED = [
  "ClassDeclaration",
  "FunctionDeclaration",
  "TSInterfaceDeclaration",
  "TSTypeAliasDeclaration",
].map((kind) => `ExportNamedDeclaration > ${kind}`);

/** Deno's style where a linter can tell it; see CONTRIBUTING.md. */
export default tseslint.config(
  {
    ignores: [
      "**/dist/",
      "**/node_modules/",
      "target/",
      "packages/rampswitch-peer/src/generated/",
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    files: ["**/*.ts"],
    plugins: { headers, jsdoc },
    languageOptions: {
      parserOptions: {
        project: ["packages/*/tsconfig.json", "platform/tsconfig.json"],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "headers/header-format": [
        "error",
        {
          source: "string",
          style: "line",
          content: "Copyright 2026 the rampswitch authors. Apache-2.0 license.",
          trailingNewlines: 2,
        },
      ],
      "jsdoc/require-jsdoc": [
        "error",
        { contexts: DOCUMENTED, require: { FunctionDeclaration: false } },
      ],
      "max-params": ["error", 3],
      "prefer-const": "error",
      eqeqeq: "error",
      "func-style": ["error", "declaration", { allowArrowFunctions: true }],
      "@typescript-eslint/naming-convention": [
        "error",
        { selector: "typeLike", format: ["PascalCase"] },
        { selector: "function", format: ["camelCase"] },
        { selector: "classMethod", format: ["camelCase"] },
      ],
      "@typescript-eslint/consistent-type-imports": [
        "error",
        { fixStyle: "inline-type-imports" },
      ],
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_" },
      ],
    },
  },
  {
    // A rejection that nobody handles ends the process and all its requests, so the
    // programs start such work by `runInBackground` or `repeat`.
    files: [
      "packages/rampswitch-{entry,serving,store,utils}/src/**/*.ts",
      "platform/src/*.ts",
    ],
    ignores: ["**/*_test.ts", "**/*_standin.ts"],
    rules: {
      "@typescript-eslint/no-floating-promises": [
        "error",
        { ignoreVoid: false },
      ],
      "no-restricted-syntax": [
        "error",
        {
          selector: "UnaryExpression[operator='void']",
          message: "Handle the rejection, or use runInBackground",
        },
      ],
    },
  },
  { files: ["**/*.{mjs,cjs}"], ...tseslint.configs.disableTypeChecked },
  {
    files: ["**/*.cjs"],
    languageOptions: {
      sourceType: "commonjs",
      globals: { module: "writable" },
    },
  },
  {
    files: ["**/*.mjs"],
    languageOptions: { globals: { process: "readonly", URL: "readonly" } },
  },
);
