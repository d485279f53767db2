/**
 * Reservations: the only record of what work an agent admitted to the backend server beside it.
 */
export { createReservationTable } from './create_reservation_table.ts'
export { ReleaseEffect, ReservationState, StartEffect } from './_types.ts'
export type {
  HeldAttempt, OwnerRelease, ReservationRequest, ReservationSnapshot, ReservationTable, ReservationTableOptions
} from './_types.ts'
