/**
 * The daemon that runs beside one backend server: it alone admits work to the server, keeps its reservations and sends it orders.
 */
export { startAgent } from './start_agent.ts'
