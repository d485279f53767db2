/**
 * The HTTP server that every stand-in uses.
 */
export { serve } from './serve.ts'
export type { HttpCall, HttpHandler, ServeOptions, RunningServer } from './serve.ts'
