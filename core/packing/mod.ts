/**
 * Packing: admission of streams to the memory of an engine by a prediction of how much memory they will need.
 */
export { createPacker } from './create_packer.ts'
export { estimateRemainingTokens } from './estimate_remaining_tokens.ts'
export { predictPeak } from './predict_peak.ts'
export { PackPolicy } from './_types.ts'
export type { Packer, PackerOptions } from './create_packer.ts'
export type { StreamMemory, PackRequest, RunningStream } from './_types.ts'
