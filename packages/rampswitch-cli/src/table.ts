// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Tables for people.
 *
 * @module
 */
import Table from "cli-table3";

const NO_BORDER = {
  top: "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  bottom: "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  left: "",
  "left-mid": "",
  mid: "",
  "mid-mid": "",
  right: "",
  "right-mid": "",
  middle: "  ",
};

/** Lays out rows below headings. */
export function table(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const laidOut = new Table({
    head: headings.map((heading) => heading.toUpperCase()),
    chars: NO_BORDER,
    style: { head: [], border: [], "padding-left": 0, "padding-right": 0 },
  });
  laidOut.push(...rows.map((row) => row.map(String)));
  return laidOut
    .toString()
    .split("\n")
    .map((line) => line.trimEnd())
    .join("\n");
}

/** Labels on one line. */
export function labelText(labels: Readonly<Record<string, string>>): string {
  return Object.entries(labels)
    .map(([key, value]) => `${key}=${value}`)
    .join(",");
}
