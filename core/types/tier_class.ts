/**
 * The two classes that tiers belong to.
 */

/** Names the class of a tier; paid work always goes before free work. */
export enum TierClass {
  Paid = 'paid',
  Free = 'free'
}
