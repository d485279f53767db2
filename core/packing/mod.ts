/**
 * The packing of streams into the memory of an engine, by what is known of their growth.
 */
export { createPacker } from './create_packer.ts'
export { estimateRemainingTokens } from './estimate_remaining_tokens.ts'
export { predictPeak } from './predict_peak.ts'
export { PackPolicy } from './_types.ts'
export type { Packer, PackerOptions } from './create_packer.ts'
export type { StreamMemory, PackRequest, RunningStream } from './_types.ts'
