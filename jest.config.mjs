/** Runs the TypeScript sources; whole-process tests use the built files. */
export default {
  testMatch: [
    "<rootDir>/packages/*/src/**/*_test.ts",
    "<rootDir>/platform/src/**/*_test.ts",
  ],
  transform: {
    "^.+\\.(ts|js|mjs)$": [
      "@swc/jest",
      {
        jsc: { parser: { syntax: "typescript" }, target: "es2022" },
        module: { type: "commonjs" },
      },
    ],
  },
  transformIgnorePatterns: ["/node_modules/(?!(true-myth|tinyqueue)/)"],
  moduleNameMapper: {
    "^rampswitch-platform$": "<rootDir>/platform/src/mod.ts",
    "^rampswitch-([a-z]+)$": "<rootDir>/packages/rampswitch-$1/src/mod.ts",
    "^(\\.{1,2}/.*)\\.js$": "$1",
  },
  moduleFileExtensions: ["ts", "js", "mjs", "json"],
  testTimeout: 60000,
};
