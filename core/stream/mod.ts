/**
 * Streams: assembles the tokens of an answer in order, and splits event streams into complete events.
 */
export { createEventSplitter } from './create_event_splitter.ts'
export { createTokenAssembler } from './create_token_assembler.ts'
export type { TokenAssembler, TokenAssemblerOptions } from './create_token_assembler.ts'
export type { EventSplitter } from './create_event_splitter.ts'
