/**
 * Streams: assembles the tokens of an answer in order, splits event streams into complete events, and detects silent ones.
 */
export { createEventSplitter } from './create_event_splitter.ts'
export { createSilenceDetector } from './create_silence_detector.ts'
export { createTokenAssembler } from './create_token_assembler.ts'
export type { TokenAssembler, TokenAssemblerOptions } from './create_token_assembler.ts'
export type { EventSplitter } from './create_event_splitter.ts'
export type { SilenceDetector, SilenceDetectorOptions, StreamPause } from './create_silence_detector.ts'
