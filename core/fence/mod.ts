/**
 * Fencing of orders to engines: fencing numbers that increase although the agent stores nothing, and a sequencer for engines
 * that ignore them.
 */
export { createFence } from './create_fence.ts'
export { createOrderSequencer, OrderEffectKind } from './create_order_sequencer.ts'
export type { Fence, FenceOptions } from './create_fence.ts'
export type { OrderEffect, OrderSequencer, OrderSequencerOptions, OrderTarget } from './create_order_sequencer.ts'
