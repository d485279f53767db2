/**
 * Fault switches that the stand-ins share.
 */
export { createFaultGate } from './create_fault_gate.ts'
export { FaultKind } from './create_fault_gate.ts'
export type { FaultGate, FaultGateOptions } from './create_fault_gate.ts'
