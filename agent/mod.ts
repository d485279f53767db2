/**
 * The daemon beside a backend server: it alone admits work to it, holds its reservations and gives it orders.
 */
export { startAgent } from './start_agent.ts'
