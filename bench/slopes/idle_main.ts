/**
 * A process that has loaded one kind of daemon and does nothing, for the measurement of its memory.
 */
const modules: Record<string, () => Promise<unknown>> = {
  entry: () => import('../../entry/mod.ts'),
  agent: () => import('../../agent/mod.ts')
}

await modules[process.argv[2] ?? '']?.()
globalThis.gc?.()
process.send?.({ rss: process.memoryUsage().rss })
process.on('disconnect', () => process.exit(0))
