/**
 * The commands of `briarloom` and their options.
 */
import sade from 'sade'
import type { LazyOutput, Sade } from 'sade'
import { checkFiles } from './check_files.ts'
import type { Output } from './check_files.ts'
import type { ExitCode } from './_exit_code.ts'
import { explainRequest } from './explain_request.ts'
import { explainRequestFromLogs } from './explain_request_from_logs.ts'
import { runLoad } from './run_load.ts'
import { loadFlags } from './_load_options.ts'
import { runDaemon } from './run_daemon.ts'
import { PlatformProcess, runPlatformProcess } from './run_platform_process.ts'
import { printStatus } from './print_status.ts'
import { writePolicy } from './write_policy.ts'
import { parseAddress } from '../wire/mod.ts'

/** Flags as they stand on the command line. */
interface Flags extends Record<string, unknown> {
  _: string[]
  settings?: string
}

/** A parsed command line: `run` performs the command. */
export interface ParsedCommand {
  run (): Promise<ExitCode>
}

/** Flags whose values are never read as numbers. */
const textFlags = ['_', 'settings', 'url', 'key', 'model', 'words']

/**
 * Parses a command line. Help, the version and usage errors are printed by the parser, which then ends the process.
 *
 * @param argv the command line as in `process.argv`
 * @param output where the lines of the commands go
 * @returns the command, or undefined when help or the version was printed
 *
 * @example
 * ```ts
 * process.exitCode = await parseCommand(process.argv, { out: console.log, err: console.error })?.run()
 * ```
 */
export function parseCommand (argv: string[], output: Output): ParsedCommand | undefined {
  const program = createProgram(output)
  // The types of sade miss that nothing is returned after help, and that options of mri reach it.
  const options = { lazy: true as const, string: textFlags, unknown: (flag: string) => `Unknown option: ${flag}` }
  const parsed = program.parse(argv, options) as LazyOutput | undefined
  if (parsed === undefined) return undefined
  return { run: async () => await parsed.handler(...parsed.args) }
}

function createProgram (output: Output): Sade {
  const program = sade('briarloom').version('0.1.0')
  addDaemons(program, output)
  addPlatformProcesses(program)
  addTools(program, output)
  addLoad(program, output)
  return program
}

function addDaemons (program: Sade, output: Output): void {
  for (const kind of ['entry', 'agent'] as const) {
    program.command(kind, `Run an ${kind} until SIGTERM, then finish what is in flight`)
      .option('--settings', 'Settings file, JSON with comments')
      .example(`${kind} --settings ${kind}.jsonc`)
      .action((flags: Flags) => runDaemon(kind, flags.settings, output))
  }
}

function addPlatformProcesses (program: Sade): void {
  for (const kind of Object.values(PlatformProcess)) {
    program.command(`${kind} <policies>`, `Run a ${kind} on the platform, which names its settings file in the environment`)
      .example(`${kind} target/policy.json`)
      .action((policies: string) => runPlatformProcess(kind, policies))
  }
}

function addTools (program: Sade, output: Output): void {
  program.command('check <file>', "Check settings, policies, configuration records and the platform's settings files")
    .example('check entry.jsonc records.jsonc')
    .action((file: string, flags: Flags) => checkFiles([file, ...flags._], output))
  program.command('write-policy <from> <to>', 'Check the policies for the platform and write them without comments')
    .example('write-policy deploy/policy.jsonc target/policy.json')
    .action((from: string, to: string) => Promise.resolve(writePolicy(from, to, output)))
  program.command('status <address>', 'Print the own view of the process at ADDRESS (ip:port)')
    .option('--settings', 'Settings file that holds the key between processes')
    .example('status 127.0.0.1:7001')
    .action((address: string, flags: Flags) => printStatus(address, flags, output))
  program.command('explain <what> <where>', 'Print what happened to a request: ADDRESS REQUEST asks an entry, REQUEST LOGFILE... reads logs')
    .option('--settings', 'Settings file that holds the key between processes')
    .example('explain 127.0.0.1:7001 levis-1-4fK0')
    .example('explain 9c41d07be2a35f68 edge-1.log side-1.log')
    .action((what: string, where: string, flags: Flags) => parseAddress(what).ok
      ? explainRequest(what, where, flags, output)
      : Promise.resolve(explainRequestFromLogs(what, [where, ...flags._], output)))
}

function addLoad (program: Sade, output: Output): void {
  program.command('load', 'Send an open loop of seeded requests and report latency and goodput')
  for (const [flag, meaning, value] of loadFlags) program.option(flag, meaning, value)
  program.example('load --url http://127.0.0.1:8080 --key KEY --model redaction --rate 5 --seconds 10')
    .action((flags: Flags) => runLoad(flags, output))
}
