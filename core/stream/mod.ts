/**
 * Puts the tokens of one answer in order.
 */
export { createEventSplitter } from './create_event_splitter.ts'
export { createTokenAssembler } from './create_token_assembler.ts'
export type { TokenAssembler, TokenAssemblerOptions } from './create_token_assembler.ts'
export type { EventSplitter } from './create_event_splitter.ts'
