/**
 * HTTP/1.1 requests to servers over pooled, persistent connections.
 */
export { callJson } from './call_json.ts'
export { createExchangePool } from './create_exchange_pool.ts'
export { isReset } from './is_reset.ts'
export { FailureKind } from './_types.ts'
export type { CallJsonOptions, JsonResponse } from './call_json.ts'
export type { ExchangePoolOptions } from './create_exchange_pool.ts'
export type { Exchange, ExchangeHandlers, ExchangePool, ExchangeRequest, Failure, ResponseFraming } from './_types.ts'
