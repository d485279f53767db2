/**
 * API keys of callers.
 */
export { createKeyIndex, digestKey } from './create_key_index.ts'
export type { KeyIndex, KeyHolder } from './create_key_index.ts'
