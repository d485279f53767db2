/**
 * Fault injection for the stand-ins.
 */
export { createFaultGate } from './create_fault_gate.ts'
export { FaultKind } from './create_fault_gate.ts'
export type { FaultGate, FaultGateOptions } from './create_fault_gate.ts'
