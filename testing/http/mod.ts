/**
 * The small HTTP server under every stand-in.
 */
export { serve } from './serve.ts'
export type { HttpCall, HttpHandler, ServeOptions, RunningServer } from './serve.ts'
