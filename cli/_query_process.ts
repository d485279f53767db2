/**
 * Sends one message to a running process over the protocol between processes and waits for the reply.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { loadSettings } from '../settings/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { connect, MessageKind } from '../wire/mod.ts'
import type { Connection, Hello, Message, MessageOf, Psk } from '../wire/mod.ts'
import { readText } from './_read_file.ts'

const replyTimeoutMs = 5000

/** Describes a message to a process and the reply that is expected. */
export interface ProcessQuery<K extends MessageKind> {
  /** Address `ip:port` of the process. */
  address: string
  /** Settings file of any process of the deployment, which holds the pre-shared key; without it the connection is plain TCP. */
  settings?: string
  message: Message
  /** Kind of the reply; messages of other kinds are ignored. */
  replyKind: K
}

/**
 * Sends a message to a process and returns its reply.
 *
 * The error says whether the settings file, the connection or the reply is missing; the reply is awaited for 5 s.
 */
export async function queryProcess<K extends MessageKind> (query: ProcessQuery<K>): Promise<Result<MessageOf<K>, string>> {
  const psk = readPsk(query.settings)
  if (psk.err) return psk
  const { address } = query
  const connection = await connect(psk.val === undefined ? { address } : { address, psk: psk.val })
  if (connection.err) return Err(connection.val.message)
  return await awaitReply(connection.val, query)
}

function awaitReply<K extends MessageKind> (connection: Connection, query: ProcessQuery<K>): Promise<Result<MessageOf<K>, string>> {
  const timer = createSystemTimer()
  return new Promise<Result<MessageOf<K>, string>>((resolve) => {
    timer.after(replyTimeoutMs, () => {
      resolve(Err(`process at ${query.address} did not reply within ${replyTimeoutMs} ms`))
    })
    connection.onClose((reason) => {
      resolve(Err(`process at ${query.address} closed the connection: ${reason}`))
    })
    connection.onMessage((msg) => {
      if (msg.kind === query.replyKind) resolve(Ok(msg as MessageOf<K>))
    })
    connection.send(createHello(timer.wallClockMs()))
    connection.send(query.message)
  }).finally(() => {
    connection.close()
    timer.close()
  })
}

function createHello (incarnation: number): Hello {
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
