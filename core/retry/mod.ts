/**
 * Retries: whether a failed attempt may be repeated, within a budget.
 */
export { createRetryBudget } from './create_retry_budget.ts'
export { createSharedRetryBudget } from './create_shared_retry_budget.ts'
export { planRetry } from './plan_retry.ts'
export type { RetryBudget, RetryBudgetOptions } from './create_retry_budget.ts'
export type { SharedRetryBudget, SharedRetryBudgetOptions } from './create_shared_retry_budget.ts'
export type { FailedAttempt, RetryPlan, PlanRetryOptions } from './plan_retry.ts'
