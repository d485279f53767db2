/**
 * Defines the commands of `briarloom` and their options.
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

/** Parsed flags of a command line; `_` holds the arguments that the command does not name. */
interface Flags extends Record<string, unknown> {
  _: string[]
  settings?: string
  against?: string
  json?: boolean
}

/** Holds a parsed command line. */
export interface ParsedCommand {
  /** Runs the command and resolves with its exit code. */
  run (): Promise<ExitCode>
}

/** Flags whose values stay text, also when they look like numbers. */
const stringFlags = ['_', 'settings', 'against', 'url', 'key', 'model', 'words']

/**
 * Parses a command line. Help, the version and usage errors are printed by the parser, which then ends the process.
 *
 * @param argv the command line as in `process.argv`
 * @param output receives the output lines of the command
 * @returns the command, or undefined when help or the version was printed
 *
 * @example
 * ```ts
 * process.exitCode = await parseCommand(process.argv, { out: console.log, err: console.error })?.run()
 * ```
 */
export function parseCommand (argv: string[], output: Output): ParsedCommand | undefined {
  const program = createProgram(output)
  // The types of sade omit that `parse` returns undefined after it printed help, and that it passes options on to mri.
  const options = { lazy: true as const, string: stringFlags, unknown: (flag: string) => `Unknown option: ${flag}` }
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
    program.command(kind, `Run an ${kind} until SIGTERM, then finish the work in flight`)
      .option('--settings', 'Settings file, JSON with comments')
      .example(`${kind} --settings ${kind}.jsonc`)
      .action((flags: Flags) => runDaemon(kind, flags.settings, output))
  }
}

function addPlatformProcesses (program: Sade): void {
  for (const kind of Object.values(PlatformProcess)) {
    program.command(`${kind} <policies>`, `Run a ${kind} on the platform; an environment variable names its settings file`)
      .example(`${kind} target/policy.json`)
      .action((policies: string) => runPlatformProcess(kind, policies))
  }
}

function addTools (program: Sade, output: Output): void {
  program.command('check <file>', "Check settings, policies, routing rules, configuration records and the platform's settings files")
    .option('--against', 'File with the configuration in force; what differs from it is printed')
    .option('--json', 'Print one JSON object in place of lines', false)
    .example('check entry.jsonc records.jsonc')
    .example('check next.json --against in-force.json')
    .action((file: string, { against, json, _: others }: Flags) => checkFiles([file, ...others], output, { against, json }))
  program.command('write-policy <from> <to>', 'Validate the policies for the platform and write them without comments')
    .example('write-policy deploy/policy.jsonc target/policy.json')
    .action((from: string, to: string) => Promise.resolve(writePolicy(from, to, output)))
  program.command('status <address>', 'Print the status of the process at ADDRESS (ip:port)')
    .option('--settings', 'Settings file that holds the pre-shared key of the processes')
    .example('status 127.0.0.1:7001')
    .action((address: string, flags: Flags) => printStatus(address, flags, output))
  program.command('explain <what> <where>', 'Print what happened to a request: ADDRESS REQUEST queries an entry, REQUEST LOGFILE... reads log files')
    .option('--settings', 'Settings file that holds the pre-shared key of the processes')
    .example('explain 127.0.0.1:7001 levis-1-4fK0')
    .example('explain 9c41d07be2a35f68 edge-1.log side-1.log')
    .action((what: string, where: string, flags: Flags) => parseAddress(what).ok
      ? explainRequest(what, where, flags, output)
      : Promise.resolve(explainRequestFromLogs(what, [where, ...flags._], output)))
}

function addLoad (program: Sade, output: Output): void {
  program.command('load', 'Send an open-loop load of seeded requests and report latency and goodput')
  for (const [flag, help, defaultValue] of loadFlags) program.option(flag, help, defaultValue)
  program.example('load --url http://127.0.0.1:8080 --key KEY --model redaction --rate 5 --seconds 10')
    .action((flags: Flags) => runLoad(flags, output))
}
