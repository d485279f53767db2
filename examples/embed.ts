/**
 * Uses a lease, a reservation and a ticket from the library in another program, without the daemons.
 */
import { createLeaseTable } from 'briarloom/core/lease'
import { createReservationTable } from 'briarloom/core/reservation'
import { createTicketTable } from 'briarloom/core/ticket'

const leases = createLeaseTable({ leaseMs: 1000 })
const reservations = createReservationTable({ seats: 1, pieces: 10 })
const tickets = createTicketTable<string>({ agent: 'press-1', incarnation: 1, retentionMs: 60_000, maxTickets: 10 })

leases.open('desk-1#1', 0)
const first = reservations.reserve({ ref: { requestId: 'a', attempt: 1 }, owner: 'desk-1#1', pieces: 10 }, 0)
const second = reservations.reserve({ ref: { requestId: 'b', attempt: 1 }, owner: 'desk-1#1', pieces: 1 }, 0)
for (const owner of leases.removeExpired(1000)) reservations.releaseOwner(owner)

const ticket = tickets.issue('press', 'desk', 0).unwrap()
const decisions = [tickets.beginCall(ticket, 'press', 'desk', 1), tickets.beginCall(ticket, 'press', 'desk', 2)]
console.log(first.ok, second.ok, reservations.free().pieces, decisions.map((decision) => decision.action).join(' '))
