/**
 * Prompts of many parts, of which the seventeenth crashes engines; they go on crashing them.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { badPart, runUnderPrompts } from '../lib-2/prompts.mjs'
import { runCase } from '../lib-2/rig.mjs'

/** Number of parts that all prompts share, those of a conversation; the next one is the part that crashes engines. */
const sharedParts = Number(process.env.PARTS ?? 16)
const maxLate = 3

const shared = Object.fromEntries(Array.from({ length: sharedParts }, (_, index) => [`a${index.toString(16).padStart(3, '0')}`, 50]))
const buildSound = (number) => ({ ...shared, [`e${number}`]: 550 })
const buildBad = (number) => ({ ...shared, [badPart]: 50, [`f${number}`]: 500 })

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { late } = await runUnderPrompts(context, { engineCount: 6, soundMs: 100, crashMs: 2_500, outputTokens: 700, buildSound, buildBad })
  return late > maxLate
})
