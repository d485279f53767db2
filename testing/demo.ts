/**
 * Starts one deployment as processes on the loopback address and sends it a condition report. With `--once` it then stops
 * all processes and exits; otherwise they run until it is interrupted.
 */
import { requestCompletion } from './caller/mod.ts'
import type { Completion } from './caller/mod.ts'
import { conditionReport } from './condition_report.ts'
import { Firm, startDeployment } from './deployment/mod.ts'
import type { Deployment } from './deployment/mod.ts'
import { computeExpectedAnswer } from './engine/mod.ts'

const maxTokens = 48

function printProcesses (deployment: Deployment): void {
  console.log('Processes:')
  for (const item of deployment.listProcesses()) {
    console.log(`  ${String(item.pid()).padStart(7)}  ${item.name}`)
  }
}

async function requestAnswer (deployment: Deployment): Promise<Completion> {
  const { model, paidKey } = deployment.firm
  console.log(`\nAnswer of ${model} to a condition report of ${conditionReport.split(/\s+/).length} words:`)
  const done = await requestCompletion({
    address: deployment.getEntryAddress(0),
    key: paidKey,
    model,
    prompt: conditionReport,
    maxTokens,
    onText: (text) => process.stdout.write(text)
  })
  process.stdout.write('\n')
  return done
}

function isDecision (line: string, requestId: string): boolean {
  return line.startsWith('{') && line.includes(`"${requestId}"`)
}

function printDecisions (deployment: Deployment, requestId: string): number {
  const entry = deployment.getProcess(`entry/${deployment.layout.entries[0]?.name}`)
  const lines = entry.readLines().filter((line) => isDecision(line, requestId))
  console.log('\nDecisions of the entry about this request:')
  for (const line of lines) console.log(`  ${line}`)
  return lines.length
}

function printCurl (deployment: Deployment): void {
  const { model, paidKey } = deployment.firm
  const body = JSON.stringify({ model, stream: true, max_tokens: 32, messages: [{ role: 'user', content: 'Is border 3 fragile?' }] })
  console.log(`\nStays up until Ctrl-C. Try:\n  curl -N http://${deployment.getEntryAddress(0)}/v1/chat/completions \\`)
  console.log(`    -H 'authorization: Bearer ${paidKey}' -H 'content-type: application/json' \\\n    -d '${body}'`)
}

async function checkAnswer (deployment: Deployment): Promise<boolean> {
  const done = await requestAnswer(deployment)
  const isComplete = done.endCount === 1 && done.text === computeExpectedAnswer(conditionReport, maxTokens).tokens.join('')
  const decisions = printDecisions(deployment, done.id ?? 'none')
  if (!isComplete) console.error(`the answer is incomplete: status ${done.status}, code ${done.code}, ${done.connectionError}`)
  if (decisions === 0) console.error('the entry logged no decision about the request')
  return isComplete && decisions > 0
}

async function main (): Promise<number> {
  const isOnce = process.argv.includes('--once')
  const deployment = await startDeployment({ firm: Firm.Velluto })
  printProcesses(deployment)
  const isPassed = await checkAnswer(deployment)
  if (!isOnce) {
    printCurl(deployment)
    await new Promise<void>((resolve) => process.once('SIGINT', resolve))
  }
  await deployment.stop()
  return isPassed ? 0 : 1
}

process.exit(await main())
