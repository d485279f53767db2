/**
 * Schemas of values that both schema versions spell alike.
 */
import { z } from 'zod'
import { Role, TierClass } from '../types/mod.ts'
import { AdmissionPolicy, ChoicePolicy, PlacementPolicy, ReservePolicy } from './_types.ts'

export const text = z.string().min(1).max(1024)
/** A name that may be empty, such as a version of a service. */
export const optionalText = z.string().max(1024)
export const amount = z.number().nonnegative()
export const positive = z.number().positive()
export const count = z.number().int().nonnegative()
export const share = z.number().min(0).max(1)
export const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected an address `ip:port`')
export const keyHash = z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hexadecimal digits')
export const role = z.enum(Role)
export const tierClass = z.enum(TierClass)
export const reserve = z.enum(ReservePolicy)
export const choice = z.enum(ChoicePolicy)
export const admission = z.enum(AdmissionPolicy)
export const placement = z.enum(PlacementPolicy).default(PlacementPolicy.Records)
export const callRule = z.strictObject({
  method: text,
  path: z.string().startsWith('/'),
  idempotent: z.boolean()
})
