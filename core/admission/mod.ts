/**
 * Admission: the queue in which work waits for seats and memory of one backend server.
 */
export { createAdmission } from './create_admission.ts'
export type {
  Admission, AdmissionDecision, AdmissionItem, AdmissionOptions, AdmissionRefusal, FreeCapacity, RefusedItem, RunningItem
} from './_types.ts'
