/**
 * The HTTP server at which the load balancer checks readiness.
 */
import { createServer } from 'node:http'
import { readyPath } from '../platform/mod.ts'
import type { Server } from 'node:http'

/** Times in milliseconds within which a check must send its head, and its whole request. */
const headersTimeoutMs = 3_000
const requestTimeoutMs = 5_000
const checkMs = 500

/** Creates the server; each check ends its connection when it has sent a body, which nobody reads. */
export function createReadyServer (isReady: () => boolean): Server {
  const options = { headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: checkMs }
  return createServer(options, (req, res) => {
    const status = req.url !== readyPath ? 404 : isReady() ? 200 : 503
    const hasBody = req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
    res.writeHead(status, { 'Content-Length': 0, ...(hasBody ? { Connection: 'close' } : {}) })
    res.end()
  })
}
