/**
 * Tickets: a call that is not idempotent runs at most once under its ticket.
 */
export { createTicketTable } from './create_ticket_table.ts'
export { parseTicket } from './parse_ticket.ts'
export { TicketAction } from './_types.ts'
export type { TicketDecision, TicketTable, TicketTableOptions } from './_types.ts'
export type { TicketParts } from './parse_ticket.ts'
