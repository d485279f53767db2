/**
 * Classes of tiers.
 */

/** Class of a tier; paid work takes precedence over free work. */
export enum TierClass {
  Paid = 'paid',
  Free = 'free'
}
