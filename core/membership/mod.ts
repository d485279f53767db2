/**
 * Membership: which processes are alive, suspect, leaving or gone, as one process sees them. Each state is only a hint.
 */
export { createMembership } from './create_membership.ts'
export { MemberReason, MemberState } from './_types.ts'
export type { MembershipOptions } from './create_membership.ts'
export type {
  Member, MemberChange, Membership, PeerHint, PeerIdentity, PeerProgress
} from './_types.ts'
