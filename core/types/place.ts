/**
 * Location of a host.
 */

/** Availability zone and region of a host. */
export interface Place {
  /** Name of the availability zone, for example `rimouski`. */
  availabilityZone: string
  /** Name of the region, for example `qc-est`. */
  region: string
}
