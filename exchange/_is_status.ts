/**
 * The range of the statuses of HTTP.
 */

const minStatus = 100
const maxStatus = 599

/** Tells whether a number is the status of a response; three digits alone do not make one. */
export function isStatus (status: number): boolean {
  return status >= minStatus && status <= maxStatus
}
