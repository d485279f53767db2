/**
 * Reservations: the only record of the work that an agent has admitted to its backend server.
 */
export { createReservationTable } from './create_reservation_table.ts'
export { ReleaseEffect, ReservationState, StartEffect } from './_types.ts'
export type {
  HeldAttempt, OwnerRelease, ReservationRequest, ReservationSnapshot, ReservationTable, ReservationTableOptions
} from './_types.ts'
