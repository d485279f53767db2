/**
 * Divides the memory and the descriptors of a process among what takes them.
 */
export { divideProcess } from './divide_process.ts'
export type { ProcessBounds, ProcessLimits } from './divide_process.ts'
