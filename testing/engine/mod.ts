/**
 * A stand-in for a model engine with continuous batching, a prefix cache, KV cache transfer, orders and fault injection.
 */
export { startEngine } from './start_engine.ts'
export { computeExpectedAnswer, hashPrompt } from './compute_expected_answer.ts'
export { EngineRole } from './_options.ts'
export type { EngineOptions } from './_options.ts'
export type { EngineStandIn } from './start_engine.ts'
export type { ExpectedAnswer } from './compute_expected_answer.ts'
