/**
 * The text form of a ticket: agent, incarnation, sequence number and a random part, separated by dots.
 */
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode } from '../types/mod.ts'
import type { Result } from '../results/mod.ts'

/** The parts of a ticket that identify the agent that issued it. */
export interface TicketParts {
  /** Name of the agent that issued the ticket. */
  agent: string
  /** Incarnation of the agent that issued the ticket. */
  incarnation: number
  /** Sequence number of the ticket in that incarnation, counted from 1. */
  seq: number
}

const maxTicketChars = 256
const ticketPattern = /^(.+)\.([0-9a-z]+)\.([0-9a-z]+)\.([0-9a-zA-Z_-]+)$/
const radix = 36

/** Formats a ticket; `nonce` consists of letters, digits, `_` and `-`. Numbers are written in base 36. */
export function formatTicket (parts: TicketParts, nonce: string): string {
  return `${parts.agent}.${parts.incarnation.toString(radix)}.${parts.seq.toString(radix)}.${nonce}`
}

/**
 * Parses a ticket, so that any entry can find the agent that issued it.
 *
 * @param text the ticket as a caller sent it, at most 256 characters long
 * @returns the agent, incarnation and sequence number, or `TicketUnknown` when the text is not a ticket
 *
 * @example
 * ```ts
 * import { parseTicket } from 'briarloom/core/ticket'
 *
 * const parts = parseTicket('registre-1.a.2.x7')
 * console.assert(parts.ok && parts.val.agent === 'registre-1' && parts.val.incarnation === 10)
 * ```
 */
export function parseTicket (text: string): Result<TicketParts, RefusalCode> {
  const match = text.length > maxTicketChars ? null : ticketPattern.exec(text)
  if (match === null) return Err(RefusalCode.TicketUnknown)
  const [, agent = '', incarnationText = '', seqText = ''] = match
  const incarnation = parseInt(incarnationText, radix)
  const seq = parseInt(seqText, radix)
  if (!Number.isSafeInteger(incarnation) || !Number.isSafeInteger(seq)) return Err(RefusalCode.TicketUnknown)
  return Ok({ agent, incarnation, seq })
}
