/**
 * API keys of callers.
 */
export { createKeyIndex, digestKey, getKeyLabel } from './create_key_index.ts'
export type { KeyIndex, KeyHolder } from './create_key_index.ts'
