/**
 * Prefill: the time that engines take for a prompt, and whether the streams of a decode engine can bear it.
 */
export { canPrefillWithinPause } from './can_prefill_within_pause.ts'
export { choosePrefillPlace, PrefillPlace } from './choose_prefill_place.ts'
export { defaultPrefillMsPerToken, estimateDecodeEngineMs, estimatePrefillAtMs } from './estimate_decode_engine_ms.ts'
export { getPrefillMsPerToken } from './get_prefill_ms_per_token.ts'
export { recordDecodePrefill, recordPrefill } from './record_prefill.ts'
export type { PrefillRequest } from './choose_prefill_place.ts'
