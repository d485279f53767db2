/**
 * Runs one case: writes the record, ends what was started, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { writeFileSync } from 'node:fs'
import { createDeployment } from './deployment.mjs'

const longestRunMs = 115_000

/** Runs `play({ deployment, note, hasTrouble, onEnd })`, which returns what broke the rule, one text for each breach. */
export async function runCase ({ recordFile, hasTrouble }, play) {
  const startMs = performance.now()
  const lines = []
  const note = (text) => { lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} s  ${text}`) }
  const cleanups = []
  let deployment
  async function finish (code) {
    for (const fn of cleanups) fn()
    await deployment?.close()
    writeFileSync(recordFile, `${lines.join('\n')}\n`)
    process.exit(code)
  }
  const stop = (why) => {
    note(`could not run: ${why}`)
    console.error(why)
    finish(2)
  }
  process.on('SIGTERM', () => stop('SIGTERM'))
  process.on('SIGINT', () => stop('SIGINT'))
  setTimeout(() => stop('the case took too long'), longestRunMs).unref()
  try {
    deployment = await createDeployment()
    const breaches = await play({ deployment, note, hasTrouble, onEnd: (fn) => cleanups.push(fn) })
    note(breaches.length === 0 ? 'RESULT: the rule held' : `RESULT: the rule was broken ${breaches.length} times`)
    for (const breach of breaches.slice(0, 20)) note(`breach: ${breach}`)
    console.log(lines.slice(-1 - Math.min(20, breaches.length)).join('\n'))
    await finish(breaches.length === 0 ? 0 : 1)
  } catch (err) {
    stop(String(err?.stack ?? err))
  }
}
