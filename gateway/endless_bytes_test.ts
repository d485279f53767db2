/**
 * Steps for workers that send bytes without end.
 */
import { Given } from '@cucumber/cucumber'
import { open } from './gateway_test.ts'
import type { Site } from '../testing/fleuve/mod.ts'

interface World {
  gatewaySite: Site
}

const bytesPerMebibyte = 1_048_576

Given('a gateway site whose gateway has {int} MiB of memory, with the decode engines {string}',
  async function (this: World, mebibytes: number, ids: string) {
    await this.gatewaySite.close()
    const engines = ids.split(', ').map((id) => ({ id, service: 'llm', stage: 'decode' as const }))
    await open(this, engines, { settings: { memoryBytes: mebibytes * bytesPerMebibyte } })
  })
