/**
 * Puts the tokens of one answer in order.
 */
export { createTokenAssembler } from './create_token_assembler.ts'
export type { TokenAssembler, TokenAssemblerOptions } from './create_token_assembler.ts'
