// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Classes of the statuses of answers (RFC 9110, section 15). A parser accepts any three
 * digits, also those that are in no class.
 *
 * @module
 */

const FIRST_INFORMATIONAL_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/** Whether a status tells that the answer is still to come. */
export function isInformationalStatus(status: number): boolean {
  return status >= FIRST_INFORMATIONAL_STATUS && status < FIRST_FINAL_STATUS;
}

/** Whether a status is that of an answer; bytes with any other one are none. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}
