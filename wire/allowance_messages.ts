/**
 * The messages between gateways and their exchange points about the allowances of organisations.
 */
import type { MessageKind } from './message_kind.ts'

/** Reports what a gateway has spent of allowances; answered by `AllowanceLevels`. */
export interface AllowanceReport {
  kind: MessageKind.AllowanceReport
  /** Names the run of the sending process; no other run has the same. */
  sender: string
  /** Counter that grows with each report of the sender to this point. */
  seq: number
  /** Counter of the last report that was answered; 0 before any was. */
  after: number
  /** True when every organisation is listed of which the sender has spent something. */
  full: boolean
  /** For each organisation, sums since the start of the sender: units spent, less those put back, and units asked for. */
  spending: Array<{ organisation: string, spent: number, offered: number }>
}

/** Tells a gateway how much is left of allowances, by all reports that the sender has received. */
export interface AllowanceLevels {
  kind: MessageKind.AllowanceLevels
  /** Counter of the report that is answered; all that it listed is accounted for. */
  seq: number
  /** True when the sender does not know the gateway and has ignored the report, because it was not full. */
  wantsFull: boolean
  /** Number of gateways that report to the sender. */
  gateways: number
  /**
   * Organisations that the report listed or of which little is left: units left, negative when more is spent, units asked for per second at all
   * gateways, and the part of these that the gateway had, from 0 to 1. Of others, half or more of what can be left is left.
   */
  levels: Array<{ organisation: string, level: number, share: number, demandPerS: number }>
}
