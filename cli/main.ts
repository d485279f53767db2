#!/usr/bin/env node
/**
 * Entry point of the command line `briarloom`.
 */
import { parseCommand } from './parse_command.ts'

const command = parseCommand(process.argv, {
  out: (line) => { console.log(line) },
  err: (line) => { console.error(line) }
})
if (command !== undefined) process.exit(await command.run())
