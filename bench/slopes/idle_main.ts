/**
 * Loads one kind of daemon without starting it, and reports the resident memory of the process in bytes.
 */
const daemonLoaders: Record<string, () => Promise<unknown>> = {
  entry: () => import('../../entry/mod.ts'),
  agent: () => import('../../agent/mod.ts')
}

await daemonLoaders[process.argv[2] ?? '']?.()
globalThis.gc?.()
process.send?.({ rss: process.memoryUsage().rss })
process.on('disconnect', () => process.exit(0))
