/**
 * Schemas of values that are the same in both schema versions.
 */
import { z } from 'zod'
import { Role, TierClass } from '../types/mod.ts'
import { AdmissionPolicy, ChoicePolicy, PlacementPolicy, ReservePolicy } from './_types.ts'

/** Text of 1 to 1024 characters. */
export const text = z.string().min(1).max(1024)
/** Text of up to 1024 characters that may be empty, such as the version of a service. */
export const optionalText = z.string().max(1024)
/** Number that is not negative. */
export const amount = z.number().nonnegative()
/** Number above 0. */
export const positive = z.number().positive()
/** Integer that is not negative. */
export const count = z.number().int().nonnegative()
/** Share from 0 to 1. */
export const share = z.number().min(0).max(1)
/** Address `ip:port`. */
export const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected an address `ip:port`')
/** SHA-256 of an API key, as lower-case hexadecimal digits. */
export const keyHash = z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hexadecimal digits')
/** Role of a backend server. */
export const role = z.enum(Role)
/** Class of a tier. */
export const tierClass = z.enum(TierClass)
/** Reservation policy. */
export const reserve = z.enum(ReservePolicy)
/** Policy for the choice among backend servers. */
export const choice = z.enum(ChoicePolicy)
/** Admission policy. */
export const admission = z.enum(AdmissionPolicy)
/** Placement policy; `records` by default. */
export const placement = z.enum(PlacementPolicy).default(PlacementPolicy.Records)
/** Rule for the calls of a service. */
export const callRule = z.strictObject({
  method: text,
  path: z.string().startsWith('/'),
  idempotent: z.boolean()
})
