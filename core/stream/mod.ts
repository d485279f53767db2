/**
 * Streams: assembles the tokens of an answer in order, splits event streams into complete events, judges whether they have come whole,
 * bounds the bytes that are held for them, and detects silent ones.
 */
export { createBodyCheck } from './create_body_check.ts'
export { createByteBudget } from './create_byte_budget.ts'
export { createByteBuffer } from './create_byte_buffer.ts'
export { createPiecePool } from './create_piece_pool.ts'
export { createEventScanner } from './create_event_scanner.ts'
export { createEventSplitter } from './create_event_splitter.ts'
export { createSilenceDetector } from './create_silence_detector.ts'
export { createTokenAssembler } from './create_token_assembler.ts'
export { isEventStream } from './is_event_stream.ts'
export type { BodyCheck, BodyCheckOptions } from './create_body_check.ts'
export type { TokenAssembler, TokenAssemblerOptions } from './create_token_assembler.ts'
export type { ByteAccount, ByteAccountOptions, ByteBudget, ByteBudgetOptions } from './create_byte_budget.ts'
export type { ByteBuffer } from './create_byte_buffer.ts'
export type { EventScanner } from './create_event_scanner.ts'
export type { EventSplitter } from './create_event_splitter.ts'
export type { SilenceDetector, SilenceDetectorOptions, StreamPause } from './create_silence_detector.ts'
