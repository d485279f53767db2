/**
 * Embeds coordination parts in a program of one's own: a lease, a reservation and a ticket, without the daemons.
 */
import { createLeaseTable } from 'briarloom/core/lease'
import { createReservationTable } from 'briarloom/core/reservation'
import { createTicketTable } from 'briarloom/core/ticket'

const leases = createLeaseTable({ leaseMs: 1000 })
const table = createReservationTable({ seats: 1, pieces: 10 })
const tickets = createTicketTable<string>({ agent: 'press-1', incarnation: 1, retentionMs: 60_000, maxTickets: 10 })

leases.open('desk-1#1', 0)
const first = table.reserve({ ref: { requestId: 'a', attempt: 1 }, owner: 'desk-1#1', pieces: 10 }, 0)
const second = table.reserve({ ref: { requestId: 'b', attempt: 1 }, owner: 'desk-1#1', pieces: 1 }, 0)
for (const owner of leases.removeExpired(1000)) table.releaseOwner(owner)

const ticket = tickets.issue('press', 'desk', 0).unwrap()
const runs = [tickets.beginCall(ticket, 'press', 'desk', 1), tickets.beginCall(ticket, 'press', 'desk', 2)]
console.log(first.ok, second.ok, table.free().pieces, runs.map((run) => run.action).join(' '))
