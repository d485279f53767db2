/**
 * Asks a running process one question over the protocol between processes.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { loadSettings } from '../settings/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { connect, MessageKind } from '../wire/mod.ts'
import type { Connection, Hello, Message, MessageOf, Psk } from '../wire/mod.ts'
import { readText } from './_read_file.ts'

const answerTimeoutMs = 5000

/** Describes a question. */
export interface ProcessQuery<K extends MessageKind> {
  /** Address `ip:port` of the process. */
  address: string
  /** Settings file of any process of the deployment, for the key; plain TCP without it. */
  settings?: string
  message: Message
  /** Kind of the answer. */
  replyKind: K
}

/** Sends a question and waits for its answer. */
export async function queryProcess<K extends MessageKind> (question: ProcessQuery<K>): Promise<Result<MessageOf<K>, string>> {
  const psk = readPsk(question.settings)
  if (psk.err) return psk
  const { address } = question
  const connection = await connect(psk.val === undefined ? { address } : { address, psk: psk.val })
  if (connection.err) return Err(connection.val.message)
  return await exchange(connection.val, question)
}

function exchange<K extends MessageKind> (connection: Connection, question: ProcessQuery<K>): Promise<Result<MessageOf<K>, string>> {
  const timer = createSystemTimer()
  return new Promise<Result<MessageOf<K>, string>>((resolve) => {
    timer.after(answerTimeoutMs, () => {
      resolve(Err(`process at ${question.address} did not answer within ${answerTimeoutMs} ms`))
    })
    connection.onClose((reason) => {
      resolve(Err(`process at ${question.address} closed the connection: ${reason}`))
    })
    connection.onMessage((msg) => {
      if (msg.kind === question.replyKind) resolve(Ok(msg as MessageOf<K>))
    })
    connection.send(hello(timer.wallClockMs()))
    connection.send(question.message)
  }).finally(() => {
    connection.close()
    timer.close()
  })
}

function hello (incarnation: number): Hello {
  return {
    kind: MessageKind.Hello,
    name: `tool-${process.pid}-${incarnation}`,
    process: 'tool',
    incarnation,
    address: '',
    revision: 0,
    availabilityZone: '',
    region: ''
  }
}

function readPsk (file: string | undefined): Result<Psk | undefined, string> {
  if (file === undefined) return Ok(undefined)
  const text = readText(file)
  if (text.err) return text
  const settings = loadSettings(text.val, { file })
  if (settings.err) return Err(`file "${file}" holds no valid settings; run "briarloom check ${file}"`)
  const { psk } = settings.val
  return Ok(psk && { identity: psk.identity, key: Buffer.from(psk.keyHex, 'hex') })
}
