/**
 * Runs one stand-in as a separate process: `main.js engine|service|config|hosts --port N --options JSON`. It prints
 * `ready ADDRESS CONTROL` once it listens.
 */
import sade from 'sade'
import { startConfigService } from './config_service/mod.ts'
import { startEngine } from './engine/mod.ts'
import { startHostList } from './host_list/mod.ts'
import type { RunningServer } from './http/mod.ts'
import { startService } from './service/mod.ts'

interface Flags {
  port: number
  options: string
  /** True when the process stops at the end of its standard input. */
  tied: boolean
}

type StartFunction = (options: { port: number }) => Promise<RunningServer>

const startFunctions: { [name: string]: StartFunction } = {
  engine: startEngine,
  service: startService,
  config: startConfigService,
  hosts: startHostList
}

async function run (start: StartFunction, flags: Flags): Promise<void> {
  const served = await start({ ...JSON.parse(flags.options) as object, port: Number(flags.port) })
  console.log(`ready ${served.address} ${served.controlAddress}`)
  const stop = (): void => {
    served.close().finally(() => process.exit(0))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  if (!flags.tied) return
  process.stdin.on('end', stop)
  process.stdin.resume()
}

const program = sade('stand-in')
program.option('--port', 'Port to listen on; 0 takes a free one', 0)
program.option('--options', 'Options of the stand-in as a JSON object', '{}')
program.option('--tied', 'Stops when standard input closes', false)
for (const [name, start] of Object.entries(startFunctions)) {
  program.command(name, `Runs the ${name} stand-in`).action((flags: Flags) => {
    run(start, flags).catch((err) => {
      console.error(`stand-in "${name}" failed: ${String(err)}`)
      process.exit(1)
    })
  })
}
program.parse(process.argv)
