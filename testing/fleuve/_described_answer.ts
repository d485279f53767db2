/**
 * Answers of a worker that a test describes: a stream of events, its framing and its end.
 */
import type { Socket } from 'node:net'

/** Names how an answer shows the end of its body. */
export enum AnswerFraming {
  Length = 'with a length',
  Chunks = 'in chunks',
  /** Neither a length nor chunks: the body ends with the connection. */
  Connection = 'without a length'
}

/** Names where an answer ends. Each end is one in order: a length fits, the last chunk comes, the connection is closed without a reset. */
export enum AnswerEnd {
  Whole = 'whole',
  InsideEvent = 'inside an event',
  /** Behind a line of an event, before the empty line. */
  BehindLine = 'behind a line of an event',
  BeforeFirstEvent = 'before the first event',
  /** Behind the last event, with a comment that no empty line follows. */
  BehindComment = 'behind a comment',
  BetweenEvents = 'between two events'
}

/** Describes an answer. */
export interface DescribedAnswer {
  framing: AnswerFraming
  end: AnswerEnd
  /** Value of the header `Content-Type`; undefined for none. */
  contentType?: string | undefined
  /** LF by default. */
  lineEnd?: string
  /** Number of events of the whole stream. */
  events: number
  /** Bytes of padding in each event; 0 by default. */
  eventBytes?: number
  /** A body that is sent in place of events. */
  text?: string
}

/** Time in milliseconds between the two parts in which a body is sent. */
const pauseMs = 20

/** Returns the events behind number `after` of the whole stream that an answer describes. */
export function buildEvents ({ events, eventBytes = 0, lineEnd = '\n' }: DescribedAnswer, after = 0): string[] {
  return Array.from({ length: Math.max(0, events - after) }, (_, i) => {
    const number = after + 1 + i
    return `id: ${number}${lineEnd}data: piece ${number}${'.'.repeat(eventBytes)}${lineEnd}${lineEnd}`
  })
}

const cuts: { readonly [E in AnswerEnd]: (events: string[], lineEnd: string) => string } = {
  [AnswerEnd.Whole]: (events) => events.join(''),
  [AnswerEnd.InsideEvent]: (events, lineEnd) => events.join('').slice(0, -2 * lineEnd.length - 1),
  [AnswerEnd.BehindLine]: (events, lineEnd) => events.join('').slice(0, -lineEnd.length),
  [AnswerEnd.BeforeFirstEvent]: () => '',
  [AnswerEnd.BehindComment]: (events, lineEnd) => `${events.join('')}: end${lineEnd}`,
  [AnswerEnd.BetweenEvents]: (events) => events.slice(0, -1).join('')
}

/** Returns the body of an answer to a request that has the events up to number `after`. */
export function buildBody (answer: DescribedAnswer, after = 0): string {
  return answer.text ?? cuts[answer.end](buildEvents(answer, after), answer.lineEnd ?? '\n')
}

/** Writes an answer in two parts, behind the lines of its head that name the request and the worker. */
export function writeDescribedAnswer (socket: Socket, headLines: readonly string[], answer: DescribedAnswer, after: number): void {
  const body = buildBody(answer, after)
  const framings: { readonly [F in AnswerFraming]: string } = {
    [AnswerFraming.Length]: `Content-Length: ${body.length}`,
    [AnswerFraming.Chunks]: 'Transfer-Encoding: chunked',
    [AnswerFraming.Connection]: 'Connection: close'
  }
  const types = answer.contentType === undefined ? [] : [`Content-Type: ${answer.contentType}`]
  const isChunked = answer.framing === AnswerFraming.Chunks
  const frame = (part: string): string => isChunked && part.length > 0 ? `${part.length.toString(16)}\r\n${part}\r\n` : isChunked ? '' : part
  const middle = Math.ceil(body.length / 2)
  socket.write([...headLines, ...types, framings[answer.framing], '', frame(body.slice(0, middle))].join('\r\n'))
  setTimeout(() => {
    socket.write(frame(body.slice(middle)) + (isChunked ? '0\r\n\r\n' : ''))
    if (answer.framing === AnswerFraming.Connection) socket.end()
  }, pauseMs)
}
